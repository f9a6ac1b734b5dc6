//! What is done when a request is answered, or when its client has gone and its future is dropped.

use std::rc::Rc;

use pinerelay_admission::lease_cache::RequestId;
use pinerelay_traffic::long::Upload;

use super::RequestHandler;
use crate::proxied_request::RequestState;

/// A request that may wait for a unit of its quota: it does not any more.
pub(super) struct WaitingGuard<'a> {
    pub handler: &'a RequestHandler,
    pub tenant: &'a str,
    pub id: RequestId,
}

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        if self.handler.waiting.borrow_mut().remove(&self.id).is_some() {
            if let Some(admitter) = self.handler.admitter.upgrade() {
                admitter.cancel(self.tenant, self.id);
            }
        }
    }
}

/// The request is answered, or its client has gone: nothing more of it is sent.
pub(super) struct WithdrawalGuard(pub Rc<RequestState>);

impl Drop for WithdrawalGuard {
    fn drop(&mut self) {
        self.0.is_withdrawn.set(true);
    }
}

/// The rest of a long body is read once its request is answered: a client that is still writing when its connection closes would
/// lose the answer that lies there for it.
pub(super) struct DrainGuard(pub Option<Rc<Upload>>);

impl Drop for DrainGuard {
    fn drop(&mut self) {
        self.0.iter().for_each(|upload| upload.drain());
    }
}
