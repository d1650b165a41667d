//! HTTP server for the metrics.

use std::io;
use std::net::TcpListener;
use std::sync::Arc;

use ntex::server::Server;
use ntex::web::types::State;
use ntex::web::{self, App, HttpResponse, HttpServer};

use super::NodeMetrics;

/// Media type that the OpenMetrics specification requires.
const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Starts a server for `GET /metrics` on a dedicated thread, which serves at most
/// `max_connections` at once.
///
/// # Errors
///
/// Fails if the server can't listen on `listener`.
pub fn start_metrics_server(
    listener: TcpListener,
    metrics: Arc<NodeMetrics>,
    max_connections: usize,
) -> io::Result<Server> {
    let server = HttpServer::new(async move || {
        App::new()
            .state(Arc::clone(&metrics))
            .service(web::resource("/metrics").route(web::get().to(get_metrics)))
    });
    let server = server.workers(1).maxconn(max_connections);
    Ok(server.disable_signals().listen(listener)?.run())
}

async fn get_metrics(metrics: State<Arc<NodeMetrics>>) -> HttpResponse {
    HttpResponse::Ok()
        .content_type(CONTENT_TYPE)
        .body(metrics.encode_text())
}
