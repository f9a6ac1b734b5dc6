//! Drop guards: clean-up after a request was answered, or when its client disconnects and its future is dropped.

use std::rc::Rc;

use pinerelay_admission::lease_cache::RequestId;
use pinerelay_traffic::streamed_body::Upload;

use super::RequestHandler;
use crate::proxied_request::RequestState;

/// Cancels a request that still waits for a quota unit.
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

/// Marks the request as withdrawn, so that no later attempt sends it: it was answered, or its client has disconnected.
pub(super) struct WithdrawalGuard(pub Rc<RequestState>);

impl Drop for WithdrawalGuard {
    fn drop(&mut self) {
        self.0.is_withdrawn.set(true);
    }
}

/// Reads the rest of a long body after the request was answered: a client that is still writing when its connection is closed
/// would lose the response.
pub(super) struct DrainGuard(pub Option<Rc<Upload>>);

impl Drop for DrainGuard {
    fn drop(&mut self) {
        self.0.iter().for_each(|upload| upload.drain());
    }
}
