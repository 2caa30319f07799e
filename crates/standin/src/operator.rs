//! Client for the operators' port of a daemon, used by stand-ins, tests and measurements.

use http_types::{Method, Request, StatusCode, Url};
use rf_base::{Millis, MoveId};
use rf_config::{Intent, Plan};
use rf_daemon::control::event::{Accepted, Announcement, Confirmed};
use rf_daemon::control::status::{MoveView, StatusView};
use rf_rollout::change::Document;
use rf_transport::{Client, ClientSettings};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;
use std::net::SocketAddr;

/// Longest wait for a response.
const TIMEOUT: Millis = Millis(12_000);
/// Longest response body in bytes.
const MAX_BODY: usize = 16 * 1024 * 1024;

/// Error of a failed request.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("status {status}: {message}"))]
pub struct OperatorError {
    /// HTTP status code; 0 if there was no valid response.
    pub status: u16,
    /// Body of the response, or the local error where the status is 0.
    pub message: String,
}

/// Result of a request.
pub type Result<T> = std::result::Result<T, OperatorError>;

/// Client for the operators' port of one daemon; opens a connection for every request.
#[derive(Clone, Debug)]
pub struct Operator {
    address: SocketAddr,
    key: String,
}

impl Operator {
    /// Creates a client that authenticates with the mesh key.
    pub fn new(address: SocketAddr, key: &str) -> Operator {
        Operator {
            address,
            key: key.to_owned(),
        }
    }

    /// Announces the backend server beside the daemon.
    ///
    /// # Errors
    ///
    /// Returns the daemon's error.
    pub async fn announce(&self, announcement: &Announcement) -> Result<()> {
        self.send::<_, Accepted>(Method::Put, "/v1/announce", announcement)
            .await?;
        Ok(())
    }

    /// Applies services and routes to the configuration of the mesh.
    ///
    /// # Errors
    ///
    /// Returns the daemon's error.
    pub async fn apply(&self, document: &Document) -> Result<Accepted> {
        self.send(Method::Post, "/v1/apply", document).await
    }

    /// Requests a plan for an intent; nothing changes until it is confirmed.
    ///
    /// # Errors
    ///
    /// Returns the daemon's error.
    pub async fn plan(&self, intent: &Intent) -> Result<Plan> {
        self.send(Method::Post, "/v1/plans", intent).await
    }

    /// Confirms a plan, which starts its move.
    ///
    /// # Errors
    ///
    /// Returns the daemon's error.
    pub async fn confirm(&self, plan: &Plan) -> Result<Confirmed> {
        let path = format!("/v1/plans/{}/confirm", plan.id);
        self.send(Method::Post, &path, &()).await
    }

    /// Returns the state of the mesh as seen by the daemon.
    ///
    /// # Errors
    ///
    /// Returns the daemon's error.
    pub async fn status(&self) -> Result<StatusView> {
        self.send(Method::Get, "/v1/status", &()).await
    }

    /// Returns the move with the given id.
    ///
    /// # Errors
    ///
    /// Returns the daemon's error, or status 404 if there is no such move.
    pub async fn find_move(&self, id: MoveId) -> Result<MoveView> {
        let moves: Vec<MoveView> = self.send(Method::Get, "/v1/moves", &()).await?;
        moves.into_iter().find(|m| m.id == id).ok_or(OperatorError {
            status: 404,
            message: format!("no move {id}"),
        })
    }

    /// Returns the daemon's metrics in the text format of Prometheus.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon does not answer with success.
    pub async fn metrics(&self) -> Result<String> {
        let body = self.send_raw(Method::Get, "/metrics", Vec::new()).await?;
        Ok(String::from_utf8_lossy(&body).into_owned())
    }

    /// Returns the sum of the samples of a metric whose series contains `label`; an empty `label`
    /// matches all.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon does not answer with success.
    pub async fn metric(&self, name: &str, label: &str) -> Result<f64> {
        let text = self.metrics().await?;
        Ok(sum_metric(&text, name, label))
    }

    async fn send<B: Serialize, T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: &B,
    ) -> Result<T> {
        let invalid_json = |e: serde_json::Error| OperatorError {
            status: 0,
            message: e.to_string(),
        };
        let bytes = match method {
            Method::Get => Vec::new(),
            _ => serde_json::to_vec(body).map_err(invalid_json)?,
        };
        let answer = self.send_raw(method, path, bytes).await?;
        serde_json::from_slice(&answer).map_err(invalid_json)
    }

    async fn send_raw(&self, method: Method, path: &str, body: Vec<u8>) -> Result<Vec<u8>> {
        let failed = |message: String| OperatorError { status: 0, message };
        let text = format!("http://{}{path}", self.address);
        let url = Url::parse(&text).map_err(|e| failed(e.to_string()))?;
        let mut request = Request::new(method, url);
        request.insert_header("authorization", format!("Bearer {}", self.key));
        if method != Method::Get {
            request.set_body(body);
        }
        let client = Client::new(ClientSettings::default());
        let response = client
            .send(self.address, request, TIMEOUT, MAX_BODY)
            .await
            .map_err(|e| failed(e.to_string()))?;
        match response.status() {
            StatusCode::Ok => Ok(response.body),
            status => Err(OperatorError {
                status: status as u16,
                message: String::from_utf8_lossy(&response.body).into_owned(),
            }),
        }
    }
}

/// Sums the samples of the metric `rosemaryfork_{name}` in `text` whose series contains `label`.
pub fn sum_metric(text: &str, name: &str, label: &str) -> f64 {
    let full = format!("rosemaryfork_{name}");
    let is_sample = |line: &&str| {
        let series = line.split(' ').next().unwrap_or("");
        let base = series.split('{').next().unwrap_or("");
        base == full && series.contains(label)
    };
    text.lines()
        .filter(is_sample)
        .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
        .sum()
}
