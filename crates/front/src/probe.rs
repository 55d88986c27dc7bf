//! HTTP server for the load balancer's readiness probe and for metrics.

use std::convert::Infallible;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use platform::settings::READY_PATH;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::spawn_local;

use crate::metrics;

/// Serves readiness and metrics on a listener.
pub async fn run(listener: TcpListener, ready: watch::Receiver<bool>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // A later accept may find a free file descriptor.
            tokio::task::yield_now().await;
            continue;
        };
        let ready = ready.clone();
        spawn_local(async move {
            let service = service_fn(|request: Request<Incoming>| {
                let response = respond(request.uri().path(), *ready.borrow());
                async move { Ok::<_, Infallible>(response) }
            });
            // Clients retry after a broken connection.
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

fn respond(path: &str, is_ready: bool) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    match path {
        "/metrics" => *response.body_mut() = Full::from(metrics::encode()),
        READY_PATH if is_ready => {}
        READY_PATH => *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE,
        _ => *response.status_mut() = StatusCode::NOT_FOUND,
    }
    response
}
