//! Tests that the methods, parameters, results and errors in the schema file are those of the
//! server.

use std::collections::BTreeSet;

use cornelvalve_api::{
    ApiError, EntryKind, ErrorKind, OperatorsClient, OperatorsServer, Timestamp, WaitFor,
};
use cornelvalve_model::{Offset, Revision};
use jsonrpsee::RpcModule;
use jsonrpsee::core::ClientError;
use jsonrpsee::core::client::{BatchResponse, ClientT};
use jsonrpsee::core::params::BatchRequestBuilder;
use jsonrpsee::core::traits::ToRpcParams;
use jsonrpsee::types::ErrorObjectOwned;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

use crate::fake::{FakeDaemon, change, id};

const SCHEMA: &str = include_str!("../../../../schema/operators.openrpc.json");

fn openrpc_document() -> Value {
    serde_json::from_str(SCHEMA).expect("schema file is JSON")
}

/// Client that passes each call as JSON text to the server in the same process, and checks the
/// parameters and the result against the schema file.
struct SchemaCheckingClient {
    module: RpcModule<FakeDaemon>,
    openrpc_document: Value,
}

impl SchemaCheckingClient {
    /// Returns the description of a method.
    fn method(&self, name: &str) -> &Value {
        let methods = self.openrpc_document["methods"]
            .as_array()
            .expect("methods");
        methods
            .iter()
            .find(|method| method["name"] == name)
            .unwrap_or_else(|| panic!("method {name} is missing in the schema file"))
    }

    /// Checks that a value matches a schema.
    fn assert_valid(&self, schema: &Value, value: &Value) {
        let schema =
            json!({ "components": self.openrpc_document["components"], "allOf": [schema] });
        let validator = jsonschema::validator_for(&schema).expect("schema is valid");
        let errors: Vec<String> = validator
            .iter_errors(value)
            .map(|e| e.to_string())
            .collect();
        assert!(errors.is_empty(), "{value} does not match: {errors:?}");
    }

    /// Checks that the parameters of a call have the names and types that its description lists.
    fn assert_params(&self, method: &Value, params: &Value) {
        let described = method["params"].as_array().expect("params");
        let described_names: BTreeSet<&str> = described
            .iter()
            .filter_map(|param| param["name"].as_str())
            .collect();
        let sent_names: BTreeSet<&str> = match params {
            Value::Object(map) => map.keys().map(String::as_str).collect(),
            _ => BTreeSet::new(),
        };
        assert_eq!(
            described_names, sent_names,
            "parameters of {}",
            method["name"]
        );
        for param in described {
            let name = param["name"].as_str().expect("name");
            self.assert_valid(&param["schema"], &params[name]);
        }
    }
}

impl ClientT for SchemaCheckingClient {
    async fn notification<P: ToRpcParams + Send>(&self, _: &str, _: P) -> Result<(), ClientError> {
        unreachable!("the API has no notifications")
    }

    async fn request<R: DeserializeOwned, P: ToRpcParams + Send>(
        &self,
        name: &str,
        params: P,
    ) -> Result<R, ClientError> {
        let params = params.to_rpc_params()?;
        let params: Value = match &params {
            Some(raw) => serde_json::from_str(raw.get())?,
            None => json!({}),
        };
        let method = self.method(name);
        self.assert_params(method, &params);
        let request = json!({ "jsonrpc": "2.0", "id": 1, "method": name, "params": params });
        let (response, _) = self
            .module
            .raw_json_request(&request.to_string(), 1)
            .await?;
        let response: Value = serde_json::from_str(response.get())?;
        if let Some(error) = response.get("error") {
            let object: ErrorObjectOwned = serde_json::from_value(error.clone())?;
            return Err(ClientError::Call(object));
        }
        self.assert_valid(&method["result"]["schema"], &response["result"]);
        Ok(serde_json::from_value(response["result"].clone())?)
    }

    async fn batch_request<'a, R: DeserializeOwned + std::fmt::Debug + 'a>(
        &self,
        _: BatchRequestBuilder<'a>,
    ) -> Result<BatchResponse<'a, R>, ClientError> {
        unreachable!("calls are not sent in batches")
    }
}

fn client() -> SchemaCheckingClient {
    SchemaCheckingClient {
        module: FakeDaemon::new("vm-1", "est-a").into_rpc(),
        openrpc_document: openrpc_document(),
    }
}

// Guards against a method that is added to the server but not to the schema file, or the reverse.
#[test]
fn schema_lists_the_methods_of_the_server() {
    let client = client();
    let methods = client.openrpc_document["methods"]
        .as_array()
        .expect("methods");
    let described: BTreeSet<&str> = methods
        .iter()
        .filter_map(|method| method["name"].as_str())
        .collect();
    let served: BTreeSet<&str> = client.module.method_names().collect();
    assert_eq!(described, served);
}

/// Guards against parameters or results that differ from the schema file; the client panics if one
/// does.
#[tokio::test]
async fn calls_match_the_schema() -> Result<(), ClientError> {
    let client = client();
    for wait in [WaitFor::Published, WaitFor::Accepted, WaitFor::InForce] {
        client.publish(change(), wait, 1_000).await?;
    }
    for kind in [None, Some(EntryKind::Service), Some(EntryKind::Rule)] {
        client.entries(kind).await?;
    }
    client.status().await?;
    client.members().await?;
    client.in_force(Revision(8)).await?;
    client.timeline(None, 10).await?;
    client.timeline(Some(Timestamp::default()), 10).await?;
    client.leave(id("est-a")).await?;
    let text = str::to_owned;
    let team = Some(id("paie"));
    client
        .explain(text("remise.test"), text("/file"), text("POST"), team)
        .await?;
    client
        .explain(text("remise.test"), text("/file"), text("GET"), None)
        .await?;
    client.peer_records(Offset(4), 10).await?;
    Ok(())
}

/// Guards against error objects without the kind by which clients choose how to react.
#[tokio::test]
async fn errors_carry_kind_and_remedy() {
    let client = client();
    let error = client
        .leave(id("ouest-a"))
        .await
        .expect_err("other failure domain");
    let ClientError::Call(object) = error else {
        panic!("not an error object: {error}");
    };
    let kind = ApiError::from_error_object(&object).map(|e| e.kind);
    assert_eq!(kind, Some(ErrorKind::WrongDomain));
    let data = serde_json::to_value(object.data()).expect("data is JSON");
    client.assert_valid(&json!({ "$ref": "#/components/schemas/ErrorData" }), &data);
}

// Guards against error codes and kinds that differ from those that clients in other languages read
// from the schema file.
#[test]
fn schema_lists_the_error_codes_of_the_server() {
    let openrpc_document = openrpc_document();
    let errors = openrpc_document["components"]["errors"]
        .as_object()
        .expect("errors");
    assert_eq!(errors.len(), ErrorKind::ALL.len());
    for kind in ErrorKind::ALL {
        let error = &errors[&kind.to_string()];
        assert_eq!(error["code"], json!(kind.code()), "code of {kind}");
        assert_eq!(error["data"]["kind"], json!(kind), "kind of {kind}");
    }
}
