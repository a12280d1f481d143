//! The second address, where operators call. It has descriptors of its own, and nobody can fill or delay it.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{ALLOW, CONTENT_TYPE, HeaderValue};
use hyper::{
    Method, Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn,
};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{sleep, timeout};

use crate::dispatch::{Dispatcher, Transport};
use crate::lifecycle::Lifecycle;

/// Callers at once; one more takes the place of the one that has been there longest.
const MOST_CALLERS: usize = 12;
/// A caller may take this long for its call and the reading of the answer.
const CALL_TIME: Duration = Duration::from_secs(4);
/// Most of a call's head; the least that the HTTP library takes.
const MOST_HEAD: usize = 8192;
/// Most of a call's body, which says nothing here.
const MOST_BODY: usize = 4096;
/// Most of an upstream's name.
const MOST_NAME: usize = 256;
/// Pause after a connection could not be taken.
const PAUSE: Duration = Duration::from_millis(20);

/// What a call asks for.
#[derive(Debug, PartialEq)]
enum AdminCall {
    Ready,
    Exclude(String),
    Include(String),
    Evacuate,
    Rejoin,
}

/// Why a call is no order: its answer, with the method that the path would take.
type Wrong = (StatusCode, &'static str, Option<&'static str>);

/// Where operators' calls are answered.
pub struct AdminServer<W: Transport> {
    engine: Rc<Dispatcher<W>>,
    life: Rc<Lifecycle>,
    callers: RefCell<VecDeque<AbortHandle>>,
}

impl<W: Transport> AdminServer<W> {
    /// No caller yet.
    pub fn new(engine: Rc<Dispatcher<W>>, life: Rc<Lifecycle>) -> Rc<Self> {
        Rc::new(AdminServer { engine, life, callers: RefCell::default() })
    }

    /// Answers calls; never returns.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                sleep(PAUSE).await;
                continue;
            };
            let _ = stream.set_nodelay(true);
            let this = self.clone();
            let task = spawn_local(async move {
                let service = service_fn(move |request| {
                    let this = this.clone();
                    async move { Ok::<_, Infallible>(this.answer(request).await) }
                });
                let mut builder = http1::Builder::new();
                let call = builder.keep_alive(false).max_buf_size(MOST_HEAD);
                let _ = timeout(CALL_TIME, call.serve_connection(TokioIo::new(stream), service)).await;
            });
            let mut callers = self.callers.borrow_mut();
            callers.retain(|caller| !caller.is_finished());
            // Guards against callers that finish no call.
            if callers.len() >= MOST_CALLERS
                && let Some(longest) = callers.pop_front()
            {
                longest.abort();
            }
            callers.push_back(task.abort_handle());
        }
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let order = order(request.method(), request.uri());
        // Read to its end first: what is closed on unread is reset, and the answer with it.
        if Limited::new(request.into_body(), MOST_BODY).collect().await.is_err() {
            return text(StatusCode::PAYLOAD_TOO_LARGE, "a call has no body");
        }
        match order.map(|order| self.carry_out(&order)) {
            Ok(Ok((status, said))) => text(status, &said),
            Ok(Err(e)) => {
                eprintln!("management: the order is not kept: {e}");
                text(StatusCode::INTERNAL_SERVER_ERROR, &format!("not kept: {e}"))
            }
            Err((status, why, allow)) => {
                let mut response = text(status, why);
                if let Some(allow) = allow {
                    response.headers_mut().insert(ALLOW, HeaderValue::from_static(allow));
                }
                response
            }
        }
    }

    /// Does what is asked; a yes comes once it holds.
    fn carry_out(&self, order: &AdminCall) -> io::Result<(StatusCode, String)> {
        let known = |known, said: &str, name: &str| match known {
            true => {
                eprintln!("management: {name} is {said}");
                (StatusCode::OK, format!("{name} is {said}"))
            }
            false => (StatusCode::NOT_FOUND, format!("no list has named {name}")),
        };
        Ok(match order {
            AdminCall::Ready
                if self.life.accepts_connections()
                    && self.life.may_serve(self.engine.has_endpoint_list()) =>
            {
                (StatusCode::OK, "ready".to_owned())
            }
            AdminCall::Ready => (StatusCode::SERVICE_UNAVAILABLE, "not ready".to_owned()),
            AdminCall::Exclude(name) => known(self.engine.exclude(name)?, "out", name),
            AdminCall::Include(name) => known(self.engine.include(name)?, "in use", name),
            AdminCall::Evacuate => {
                self.life.set_evacuated(true)?;
                (StatusCode::OK, "clients are sent away".to_owned())
            }
            AdminCall::Rejoin => {
                self.life.set_evacuated(false)?;
                (StatusCode::OK, "clients are taken".to_owned())
            }
        })
    }
}

/// What a call asks for, if method and path say nothing else.
fn order(method: &Method, uri: &hyper::Uri) -> Result<AdminCall, Wrong> {
    let unknown = (StatusCode::NOT_FOUND, "no such path", None);
    let path = uri.path();
    let (order, allow) = match path {
        "/api/ready" => (AdminCall::Ready, "GET"),
        "/api/evacuate" => (AdminCall::Evacuate, "POST"),
        "/api/rejoin" => (AdminCall::Rejoin, "POST"),
        _ => {
            let (make, text): (fn(String) -> AdminCall, _) =
                match (path.strip_prefix("/api/exclude/"), path.strip_prefix("/api/include/")) {
                    (Some(text), _) => (AdminCall::Exclude, text),
                    (_, Some(text)) => (AdminCall::Include, text),
                    _ => return Err(unknown),
                };
            (make(name(text).ok_or((StatusCode::BAD_REQUEST, "no upstream's name", None))?), "POST")
        }
    };
    if method.as_str() != allow {
        return Err((StatusCode::METHOD_NOT_ALLOWED, "another method", Some(allow)));
    }
    if uri.query().is_some() {
        return Err((StatusCode::BAD_REQUEST, "a call has no query", None));
    }
    Ok(order)
}

/// An upstream's name, as a part of a path; nothing if it is none or not encoded as paths are.
fn name(text: &str) -> Option<String> {
    let (mut name, mut bytes) = (Vec::new(), text.bytes());
    while let Some(byte) = bytes.next() {
        name.push(match byte {
            b'%' => {
                let digits = [bytes.next()?, bytes.next()?].map(|d| char::from(d).to_digit(16));
                let [Some(high), Some(low)] = digits else { return None };
                u8::try_from(high * 16 + low).ok()?
            }
            b'/' => return None,
            other => other,
        });
    }
    let name = String::from_utf8(name).ok()?;
    let good = !name.is_empty() && name.len() <= MOST_NAME && !name.chars().any(char::is_control);
    good.then_some(name)
}

fn text(status: StatusCode, said: &str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(format!("{said}\n"))));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}

#[cfg(test)]
mod tests;
