//! The life of one client's connection: when it may be closed, and what is owed to it before.
//!
//! A request is taken once its last byte has reached this machine, read or not. So nothing is closed on what the process
//! happens to have read: whoever wants to close a connection tells it so, and the machine asks for a look at what lies
//! unread before it lets go.

/// What is under way on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Stage {
    /// Nothing has come on it yet. Owed: a look at what lies unread.
    Fresh,
    /// Its last request has been answered, and nothing has come since. Owed: a look at what lies unread.
    Idle,
    /// Part of a head has come, or a whole request behind the last one. Owed: its rest, until it is overdue.
    Head,
    /// A request is open on it. Owed: its answer.
    InWork,
    /// Closed, or closing with the answer that is on its way. Owed: the rest of that.
    Closing,
}

/// Why the process wants a connection closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Why {
    /// The process stops: nothing is begun on it once its present request is answered.
    Stop,
    /// Places are short, and another client needs this one.
    Room,
}

/// What happens to a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Event {
    /// Bytes have been read while no request was open.
    Came,
    /// The head of a request has come.
    Taken,
    /// The answer has been handed over; `ahead` if something of a next request has been read by then.
    Answered {
        /// Whether it has.
        ahead: bool,
    },
    /// The process wants the connection closed.
    Told(Why),
    /// A head has had all the time that it may take.
    Overdue,
    /// The client has taken nothing of what lies there for it for too long.
    Stuck,
    /// What a look found: whether something lies unread.
    Looked {
        /// Whether it does.
        unread: bool,
    },
    /// The client has closed, or the connection has broken.
    Gone,
}

/// What is to be done with a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Action {
    /// Look at once whether something lies unread in the machine, and tell.
    Look,
    /// The next answer on it, or the one under way, says that it is the last.
    LastAnswer,
    /// Its head gets its time once more: it was this process that did not read.
    Again,
    /// Close it, once what is being written has gone.
    Shut,
    /// Close it now, whatever is under way.
    Cut,
}

/// One connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Connection {
    stage: Stage,
    /// It is to be closed as soon as nothing is owed.
    told: bool,
    /// A look is asked for because it is overdue.
    overdue: bool,
    /// The present head has been given its time a second time.
    spared: bool,
    /// What has come of the present head came behind the request before, and may be whole.
    behind: bool,
    /// A look is asked for because places are short.
    pressed: bool,
}

impl Default for Connection {
    fn default() -> Self {
        Connection {
            stage: Stage::Fresh,
            told: false,
            overdue: false,
            spared: false,
            behind: false,
            pressed: false,
        }
    }
}

impl Connection {
    /// What is under way on it.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Whether it is to be closed with its next answer.
    pub fn told(&self) -> bool {
        self.told
    }

    /// Takes an event; what is to be done, if anything.
    pub fn on(&mut self, event: Event) -> Option<Action> {
        use Stage::*;
        match (self.stage, event) {
            (_, Event::Stuck) => self.closing(Some(Action::Cut)),
            (Closing, _) => None,
            (_, Event::Gone) => self.closing(None),
            (Fresh | Idle, Event::Came) => {
                self.stage = Head;
                None
            }
            (Head | InWork, Event::Came) => None,
            (_, Event::Taken) => {
                *self = Connection { stage: InWork, told: self.told, ..Connection::default() };
                self.told.then_some(Action::LastAnswer)
            }
            // The answer that said so ends it.
            (_, Event::Answered { .. }) if self.told => self.closing(None),
            // Danger: behind an answer the next request may have been read whole, and nothing of it lies in the machine.
            (_, Event::Answered { ahead }) => {
                (self.stage, self.behind) = (if ahead { Head } else { Idle }, ahead);
                None
            }
            (Fresh | Idle, Event::Told(_)) => {
                self.told = true;
                Some(Action::Look)
            }
            // Danger: heads that never end would hold all places. No request has been taken yet, so one in part may go
            // where another client needs its place.
            (Head, Event::Told(Why::Room)) if !self.behind => {
                (self.told, self.pressed) = (true, true);
                Some(Action::Look)
            }
            // Danger: what has come in part may be whole in a moment, and closing would lose it.
            (Head, Event::Told(_)) => {
                self.told = true;
                None
            }
            (InWork, Event::Told(_)) => {
                self.told = true;
                Some(Action::LastAnswer)
            }
            (InWork, Event::Overdue) => None,
            // Danger: a process that stood still finds a head overdue that lies there whole.
            (Fresh | Idle | Head, Event::Overdue) => {
                self.overdue = true;
                Some(Action::Look)
            }
            (_, Event::Looked { unread }) => self.looked(unread),
        }
    }

    fn looked(&mut self, unread: bool) -> Option<Action> {
        let (overdue, pressed) = (std::mem::take(&mut self.overdue), std::mem::take(&mut self.pressed));
        match self.stage {
            Stage::InWork | Stage::Closing => None,
            // Danger: a client that sends a byte now and then would hold its place for ever; once is enough.
            _ if overdue && unread && !self.spared => {
                self.spared = true;
                Some(Action::Again)
            }
            _ if overdue => self.closing(Some(Action::Cut)),
            Stage::Head if pressed && !unread => self.closing(Some(Action::Cut)),
            Stage::Head => None,
            Stage::Fresh | Stage::Idle if unread => None,
            Stage::Fresh | Stage::Idle if self.told => self.closing(Some(Action::Shut)),
            Stage::Fresh | Stage::Idle => None,
        }
    }

    fn closing(&mut self, action: Option<Action>) -> Option<Action> {
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
    fn an_idle_connection_is_closed_only_if_nothing_lies_unread() {
        for before in [&[][..], &[Event::Came, Event::Taken, ANSWERED]] {
            let mut quiet = after(before);
            assert_eq!(quiet.on(STOP), Some(Action::Look));
            assert_eq!(quiet.on(Event::Looked { unread: false }), Some(Action::Shut));
            let mut crossed = after(before);
            assert_eq!(crossed.on(STOP), Some(Action::Look));
            assert_eq!(crossed.on(Event::Looked { unread: true }), None);
            assert_eq!(crossed.on(Event::Came), None);
            assert_eq!(crossed.on(Event::Taken), Some(Action::LastAnswer));
            assert_eq!(crossed.on(ANSWERED), None);
            assert_eq!(crossed.stage(), Stage::Closing);
        }
    }

    #[test]
    fn a_head_that_has_begun_is_waited_for_until_it_is_overdue() {
        let mut half = after(&[Event::Came]);
        assert_eq!(half.on(STOP), None);
        assert_eq!(half.on(Event::Overdue), Some(Action::Look));
        assert_eq!(half.on(Event::Looked { unread: false }), Some(Action::Cut));
        let mut whole = after(&[Event::Came, STOP]);
        assert_eq!(whole.on(Event::Taken), Some(Action::LastAnswer));
    }

    #[test]
    fn a_head_in_part_makes_room_unless_its_rest_lies_unread() {
        let mut half = after(&[Event::Came]);
        assert_eq!(half.on(ROOM), Some(Action::Look));
        assert_eq!(half.on(Event::Looked { unread: false }), Some(Action::Cut));
        let mut whole = after(&[Event::Came]);
        assert_eq!(whole.on(ROOM), Some(Action::Look));
        assert_eq!(whole.on(Event::Looked { unread: true }), None);
        assert_eq!(whole.on(Event::Taken), Some(Action::LastAnswer), "and its answer frees the place");
    }

    #[test]
    fn what_lay_unread_while_the_process_stood_still_is_spared_once() {
        let mut late = after(&[]);
        assert_eq!(late.on(Event::Overdue), Some(Action::Look));
        assert_eq!(late.on(Event::Looked { unread: true }), Some(Action::Again));
        assert_eq!(late.on(Event::Came), None);
        assert_eq!(late.on(Event::Overdue), Some(Action::Look));
        assert_eq!(late.on(Event::Looked { unread: true }), Some(Action::Cut));
    }

    #[test]
    fn a_request_read_behind_an_answer_is_not_closed_on() {
        let mut piped = after(&[Event::Came, Event::Taken, Event::Answered { ahead: true }]);
        assert_eq!(piped.stage(), Stage::Head);
        assert_eq!((piped.on(ROOM), piped.on(STOP)), (None, None), "it may be whole");
        assert_eq!(piped.on(Event::Taken), Some(Action::LastAnswer));
    }

    #[test]
    fn a_client_that_does_not_take_its_answer_is_cut_and_one_that_waits_is_not() {
        let mut slow = after(&[Event::Came, Event::Taken]);
        assert_eq!(slow.on(STOP), Some(Action::LastAnswer));
        assert_eq!(slow.on(Event::Overdue), None, "a head's time says nothing of an answer's");
        assert_eq!(slow.on(ANSWERED), None);
        assert_eq!((slow.on(STOP), slow.on(Event::Taken)), (None, None), "nothing more begins on it");
        assert_eq!(slow.on(Event::Stuck), Some(Action::Cut));
    }
}
