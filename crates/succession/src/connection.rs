//! The lifecycle of a client connection: when it may be closed without losing a request.
//!
//! A request counts as accepted once its last byte has reached this host, even if the process has not read it. What the process
//! has read is therefore not enough to decide: to close a connection, the process requests it, and the state machine asks for a
//! check of the socket's receive buffer before it closes.

/// The state of a connection, with what must happen before it may be closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Stage {
    /// Nothing has been received yet. Before closing: a check for unread data.
    Fresh,
    /// Its last request has been answered, and nothing received since. Before closing: a check for unread data.
    Idle,
    /// Part of a request head has been received, or data of a pipelined request. Before closing: the rest, until its deadline.
    Head,
    /// A request is being processed. Before closing: its answer.
    InWork,
    /// Closed, or closing once the answer that is being written has been sent.
    Closing,
}

/// Why the process wants a connection closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Why {
    /// The process is stopping: no further request is accepted once the current one is answered.
    Stop,
    /// The connection limit is reached, and another client needs the connection slot.
    Room,
}

/// An event on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Event {
    /// Bytes have been read while no request was being processed.
    Came,
    /// The head of a request has been received completely.
    Taken,
    /// The answer has been handed over for writing.
    Answered {
        /// Whether data of a next (pipelined) request has been read already.
        ahead: bool,
    },
    /// The process wants the connection closed.
    Told(Why),
    /// The deadline for receiving a head has passed.
    Overdue,
    /// The client has not read any of the data written to it for too long.
    Stuck,
    /// The result of the check for unread data.
    Looked {
        /// Whether the receive buffer contains unread data.
        unread: bool,
    },
    /// The client has closed, or the connection has broken.
    Gone,
}

/// An action on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Action {
    /// Check the socket's receive buffer for unread data at once, and report it as [`Event::Looked`].
    Look,
    /// Mark the next answer, or the one being processed, as the last one on the connection.
    LastAnswer,
    /// Restart the deadline of its head: data has arrived that this process had not read.
    Again,
    /// Close it once all pending data has been written.
    Shut,
    /// Close it at once, in any state.
    Cut,
}

/// The state machine of one client connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Connection {
    stage: Stage,
    /// It is to be closed as soon as that loses no request.
    close_requested: bool,
    /// The check for unread data was requested because the head's deadline has passed.
    overdue: bool,
    /// The deadline of the current head has been restarted already.
    deadline_restarted: bool,
    /// Data of the current head was read together with the previous request, and may be a complete request.
    pipelined: bool,
    /// The check for unread data was requested because another client needs the connection slot.
    slot_requested: bool,
}

impl Default for Connection {
    fn default() -> Self {
        Connection {
            stage: Stage::Fresh,
            close_requested: false,
            overdue: false,
            deadline_restarted: false,
            pipelined: false,
            slot_requested: false,
        }
    }
}

impl Connection {
    /// Its state.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Whether closing was requested, so that its next answer is its last.
    pub fn told(&self) -> bool {
        self.close_requested
    }

    /// Applies an event. Returns the action to execute, if any.
    pub fn on(&mut self, event: Event) -> Option<Action> {
        use Stage::*;
        match (self.stage, event) {
            (_, Event::Stuck) => self.close(Some(Action::Cut)),
            (Closing, _) => None,
            (_, Event::Gone) => self.close(None),
            (Fresh | Idle, Event::Came) => {
                self.stage = Head;
                None
            }
            (Head | InWork, Event::Came) => None,
            (_, Event::Taken) => {
                *self = Connection {
                    stage: InWork,
                    close_requested: self.close_requested,
                    ..Connection::default()
                };
                self.close_requested.then_some(Action::LastAnswer)
            }
            // The answer was marked as the last one.
            (_, Event::Answered { .. }) if self.close_requested => self.close(None),
            // A pipelined request may have been read completely already, so that the receive buffer is empty.
            (_, Event::Answered { ahead }) => {
                (self.stage, self.pipelined) = (if ahead { Head } else { Idle }, ahead);
                None
            }
            (Fresh | Idle, Event::Told(_)) => {
                self.close_requested = true;
                Some(Action::Look)
            }
            // Heads that never end could occupy all connection slots. An incomplete head is not an accepted request, so its connection may be
            // closed if another client needs the connection slot.
            (Head, Event::Told(Why::Room)) if !self.pipelined => {
                (self.close_requested, self.slot_requested) = (true, true);
                Some(Action::Look)
            }
            // The incomplete head may be completed in a moment, and closing would lose that request.
            (Head, Event::Told(_)) => {
                self.close_requested = true;
                None
            }
            (InWork, Event::Told(_)) => {
                self.close_requested = true;
                Some(Action::LastAnswer)
            }
            (InWork, Event::Overdue) => None,
            // After a stall of this process, a head can miss its deadline though it is complete in the receive buffer.
            (Fresh | Idle | Head, Event::Overdue) => {
                self.overdue = true;
                Some(Action::Look)
            }
            (_, Event::Looked { unread }) => self.unread_checked(unread),
        }
    }

    fn unread_checked(&mut self, unread: bool) -> Option<Action> {
        let (overdue, slot_requested) =
            (std::mem::take(&mut self.overdue), std::mem::take(&mut self.slot_requested));
        match self.stage {
            Stage::InWork | Stage::Closing => None,
            // The deadline is restarted only once: a client that sends a byte now and then could keep its slot forever.
            _ if overdue && unread && !self.deadline_restarted => {
                self.deadline_restarted = true;
                Some(Action::Again)
            }
            _ if overdue => self.close(Some(Action::Cut)),
            Stage::Head if slot_requested && !unread => self.close(Some(Action::Cut)),
            Stage::Head => None,
            Stage::Fresh | Stage::Idle if unread => None,
            Stage::Fresh | Stage::Idle if self.close_requested => self.close(Some(Action::Shut)),
            Stage::Fresh | Stage::Idle => None,
        }
    }

    fn close(&mut self, action: Option<Action>) -> Option<Action> {
        self.stage = Stage::Closing;
        action
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn after(events: &[Event]) -> Connection {
        let mut connection = Connection::default();
        for &event in events {
            connection.on(event);
        }
        connection
    }

    const STOP: Event = Event::Told(Why::Stop);
    const ROOM: Event = Event::Told(Why::Room);
    const ANSWERED: Event = Event::Answered { ahead: false };

    #[test]
    fn an_idle_connection_is_closed_only_if_nothing_is_unread() {
        for before in [&[][..], &[Event::Came, Event::Taken, ANSWERED]] {
            let mut quiet = after(before);
            assert_eq!(quiet.on(STOP), Some(Action::Look));
            assert_eq!(quiet.on(Event::Looked { unread: false }), Some(Action::Shut));
            let mut with_unread_data = after(before);
            assert_eq!(with_unread_data.on(STOP), Some(Action::Look));
            assert_eq!(with_unread_data.on(Event::Looked { unread: true }), None);
            assert_eq!(with_unread_data.on(Event::Came), None);
            assert_eq!(with_unread_data.on(Event::Taken), Some(Action::LastAnswer));
            assert_eq!(with_unread_data.on(ANSWERED), None);
            assert_eq!(with_unread_data.stage(), Stage::Closing);
        }
    }

    #[test]
    fn an_incomplete_head_is_waited_for_until_its_deadline() {
        let mut incomplete = after(&[Event::Came]);
        assert_eq!(incomplete.on(STOP), None);
        assert_eq!(incomplete.on(Event::Overdue), Some(Action::Look));
        assert_eq!(incomplete.on(Event::Looked { unread: false }), Some(Action::Cut));
        let mut complete = after(&[Event::Came, STOP]);
        assert_eq!(complete.on(Event::Taken), Some(Action::LastAnswer));
    }

    #[test]
    fn an_incomplete_head_is_closed_for_another_client_unless_its_rest_is_unread() {
        let mut incomplete = after(&[Event::Came]);
        assert_eq!(incomplete.on(ROOM), Some(Action::Look));
        assert_eq!(incomplete.on(Event::Looked { unread: false }), Some(Action::Cut));
        let mut complete = after(&[Event::Came]);
        assert_eq!(complete.on(ROOM), Some(Action::Look));
        assert_eq!(complete.on(Event::Looked { unread: true }), None);
        assert_eq!(complete.on(Event::Taken), Some(Action::LastAnswer), "its answer frees the place");
    }

    #[test]
    fn the_deadline_is_restarted_once_if_data_was_unread() {
        let mut late = after(&[]);
        assert_eq!(late.on(Event::Overdue), Some(Action::Look));
        assert_eq!(late.on(Event::Looked { unread: true }), Some(Action::Again));
        assert_eq!(late.on(Event::Came), None);
        assert_eq!(late.on(Event::Overdue), Some(Action::Look));
        assert_eq!(late.on(Event::Looked { unread: true }), Some(Action::Cut));
    }

    #[test]
    fn a_connection_with_a_pipelined_request_is_not_closed() {
        let mut pipelining = after(&[Event::Came, Event::Taken, Event::Answered { ahead: true }]);
        assert_eq!(pipelining.stage(), Stage::Head);
        assert_eq!(
            (pipelining.on(ROOM), pipelining.on(STOP)),
            (None, None),
            "the pipelined request may be complete"
        );
        assert_eq!(pipelining.on(Event::Taken), Some(Action::LastAnswer));
    }

    #[test]
    fn a_client_that_does_not_read_its_answer_is_closed_and_a_waiting_one_is_not() {
        let mut slow = after(&[Event::Came, Event::Taken]);
        assert_eq!(slow.on(STOP), Some(Action::LastAnswer));
        assert_eq!(slow.on(Event::Overdue), None, "the deadline of heads does not apply to answers");
        assert_eq!(slow.on(ANSWERED), None);
        assert_eq!((slow.on(STOP), slow.on(Event::Taken)), (None, None), "no further request is accepted");
        assert_eq!(slow.on(Event::Stuck), Some(Action::Cut));
    }
}
