//! A bare relay of hyper's own parts: what a node's CPU time and allocations are held against. It decides nothing,
//! counts nothing, and keeps connections.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::LocalOptions;

type Sender = SendRequest<Full<Bytes>>;

struct Relay {
    to: Vec<SocketAddr>,
    turn: Cell<usize>,
    idle: RefCell<Vec<Vec<Sender>>>,
}

/// Relays to these addresses in turn, until the process ends; on one thread, as a node does.
pub fn run(to: Vec<SocketAddr>) -> io::Result<()> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build_local(LocalOptions::default())?;
    runtime.block_on(async move {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        eprintln!("pinerelay: listening on {}", listener.local_addr()?);
        let idle = RefCell::new(to.iter().map(|_| Vec::new()).collect());
        let relay = Rc::new(Relay { to, turn: Cell::new(0), idle });
        loop {
            let (stream, _) = listener.accept().await?;
            stream.set_nodelay(true)?;
            let relay = relay.clone();
            tokio::task::spawn_local(async move {
                let service = service_fn(|request| {
                    let relay = relay.clone();
                    async move {
                        let answer = relay.pass_on(request).await.unwrap_or_else(|_| {
                            let mut answer = Response::new(Full::default());
                            *answer.status_mut() = StatusCode::BAD_GATEWAY;
                            answer
                        });
                        Ok::<_, Infallible>(answer)
                    }
                });
                // A client that goes away ends its connection, and no more.
                let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            });
        }
    })
}

impl Relay {
    async fn pass_on(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, Box<dyn std::error::Error>> {
        let (head, body) = request.into_parts();
        let body = body.collect().await?.to_bytes();
        let turn = self.turn.get();
        self.turn.set((turn + 1) % self.to.len());
        let kept = self.idle.borrow_mut()[turn].pop().filter(|s| !s.is_closed());
        let mut sender = match kept {
            Some(sender) => sender,
            None => {
                let stream = TcpStream::connect(self.to[turn]).await?;
                stream.set_nodelay(true)?;
                let (sender, connection) = handshake(TokioIo::new(stream)).await?;
                tokio::task::spawn_local(connection);
                sender
            }
        };
        sender.ready().await?;
        let answer = sender.send_request(Request::from_parts(head, Full::new(body))).await?;
        let body = answer.into_body().collect().await?.to_bytes();
        self.idle.borrow_mut()[turn].push(sender);
        Ok(Response::new(Full::new(body)))
    }
}
