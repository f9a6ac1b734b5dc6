//! The searches, and their calls.

use pinerelay_config_state::operator_call;
use pinerelay_consensus::{Member, Membership, Request};

use crate::properties::{ACKNOWLEDGED, CONFLICT, REPAIRED};
use crate::scope::{Before, Scope};
use crate::shared::Memo;
use crate::state::{name, Left};

pub fn tenant(name: &str, revision: u64, key: &str) -> Request {
    let text = format!(
        r#"{{"upsert":{{"tenants":{{"column_names":["name","revision","api_keys"],
        "records":[["{name}",{revision},["{key}"]]]}}}}}}"#
    );
    Request::Update(operator_call::parse_update(text.as_bytes()).expect("a call"))
}

/// Who votes in an epoch: machines, and the incarnations of their disks.
pub fn membership(epoch: u64, of: &[(usize, u64)]) -> Membership {
    let mut members: Vec<Member> =
        of.iter().map(|&(me, incarnation)| Member { name: name(me), incarnation }).collect();
    members.sort();
    Membership { epoch, members, previous: (0..3).map(name).collect() }
}

pub fn change(epoch: u64, of: &[(usize, u64)]) -> Request {
    Request::ChangeMembership(membership(epoch, of))
}

/// The searches, each of which is to break nothing. `long` ones go deeper.
#[expect(clippy::too_many_lines, reason = "a table of cases, or one play with its checks")]
pub fn searches(long: bool) -> Vec<Scope> {
    let base = Scope {
        name: "",
        cores: 3,
        voters: 3,
        calls: Vec::new(),
        left: Left::default(),
        jumps: vec![400_000],
        late: Vec::new(),
        digests: false,
        already: Vec::new(),
        off: Vec::new(),
        restarted: Vec::new(),
        depth: 60,
        meets: Vec::new(),
        defect: None,
        turned: Memo::default(),
        disks: Memo::default(),
        judged: Memo::default(),
    };
    let (read, none) = ((2, Request::Read), Left::default());
    let clash = [(0, tenant("t1", 1, "k")), (2, tenant("t2", 1, "k"))];
    let apart = [(0, tenant("t1", 1, "k1")), (2, tenant("t2", 1, "k2"))];
    let one_store = [(0, tenant("t1", 1, "k1")), (0, tenant("t2", 1, "k2"))];
    let scope = |name, calls: &[(usize, Request)], left, depths: [usize; 2]| Scope {
        name,
        calls: calls.to_vec(),
        left,
        depth: depths[usize::from(long)],
        ..base.clone()
    };
    let one_lost = Left { wipes: 1, ticks: 1, ..none };
    let replaced = change(2, &[(0, 0), (1, 0), (3, 1)]);
    let crash = Left { crashes: 1, ..none };
    let both = [(0, tenant("t1", 1, "k1")), (1, tenant("t2", 1, "k2"))];
    let clashing = [(0, tenant("t1", 1, "k")), (1, tenant("t2", 1, "k"))];
    let with = |first: &[(usize, Request)], more: &[(usize, Request)]| [first, more].concat();
    let to_d = (0, replaced.clone());
    let to_d_untold =
        |deaf: &[usize]| vec![Before { call: 0, deaf: deaf.to_vec(), untold: true, ..Before::default() }];
    let told = vec![Before { call: 0, ..Before::default() }];
    // C lost its disk and votes again; so does B, after D.
    let c_again = (0, change(2, &[(0, 0), (1, 0), (2, 2)]));
    let b_again = (0, change(3, &[(0, 0), (1, 2), (3, 1)]));
    let two_hold = vec![Before { call: 0, deaf: vec![2], ..Before::default() }];
    vec![
        Scope {
            meets: vec![CONFLICT],
            ..scope("two that clash", &clash, Left { ticks: 1, ..none }, [12, 17])
        },
        scope("two that clash, a restart", &clash, crash, [18, 23]),
        scope("two and a read", &with(&one_store, std::slice::from_ref(&read)), none, [17, 20]),
        Scope { meets: vec![ACKNOWLEDGED], ..scope("two at one store", &one_store, none, [17, 22]) },
        Scope {
            late: vec![0, 1, 2, 3],
            ..scope("two at one store, a restart, late syncs", &one_store, crash, [16, 21])
        },
        scope("two apart, a lost disk", &apart, Left { wipes: 1, ..none }, [12, 17]),
        Scope {
            already: two_hold.clone(),
            ..scope(
                "one that two hold, a read, a lost disk",
                &[apart[0].clone(), read.clone()],
                one_lost,
                [60, 60],
            )
        },
        Scope {
            already: two_hold.clone(),
            ..scope(
                "one that two hold, a read, a lost disk that votes again, a restart",
                &[apart[0].clone(), (2, Request::Read), c_again.clone()],
                Left { crashes: 1, ..one_lost },
                [11, 16],
            )
        },
        Scope {
            meets: vec![REPAIRED],
            ..scope("a lost disk", std::slice::from_ref(&c_again), one_lost, [60, 60])
        },
        Scope {
            cores: 4,
            off: vec![2],
            already: told.clone(),
            meets: vec![REPAIRED],
            ..scope(
                "a lost disk beside one that is off",
                &[to_d.clone(), both[0].clone(), b_again],
                one_lost,
                [13, 18],
            )
        },
        Scope {
            cores: 4,
            already: to_d_untold(&[2, 3]),
            ..scope(
                "a member that missed a change, an order at each side",
                &with(std::slice::from_ref(&to_d), &both),
                none,
                [13, 18],
            )
        },
        Scope {
            cores: 4,
            late: vec![0, 1, 2, 3],
            restarted: vec![(2, true)],
            already: to_d_untold(&[2, 3]),
            ..scope(
                "a member that learns of a change while its promise waits for the disk",
                &[to_d.clone(), (2, tenant("t2", 1, "k2"))],
                none,
                [16, 21],
            )
        },
        Scope {
            cores: 4,
            ..scope(
                "a change while two orders that clash are put",
                &with(std::slice::from_ref(&to_d), &clashing),
                none,
                [11, 16],
            )
        },
        Scope {
            cores: 4,
            ..scope(
                "a change while an order is put, a restart",
                &[to_d.clone(), both[1].clone()],
                crash,
                [11, 16],
            )
        },
        Scope {
            cores: 4,
            already: to_d_untold(&[1]),
            ..scope(
                "a second change before the first is known",
                &[to_d.clone(), (1, change(2, &[(0, 0), (2, 0), (3, 1)])), both[1].clone()],
                none,
                [11, 16],
            )
        },
        Scope {
            cores: 4,
            already: to_d_untold(&[2]),
            ..scope(
                "one that was removed calls and reads",
                &[to_d.clone(), both[0].clone(), (2, tenant("t2", 1, "k1")), (2, Request::Read)],
                none,
                [10, 15],
            )
        },
        Scope {
            already: two_hold.clone(),
            ..scope(
                "words of a disk that was lost are on the way while the next one votes",
                &[both[0].clone(), (0, tenant("t2", 1, "k2")), c_again.clone()],
                Left { wipes: 1, ..none },
                [15, 60],
            )
        },
        Scope {
            already: two_hold.clone(),
            digests: true,
            jumps: vec![100_000],
            ..scope(
                "digests, an order, a lost disk that votes again",
                &[both[0].clone(), (0, tenant("t2", 1, "k2")), c_again.clone()],
                Left { wipes: 1, ticks: 2, ..none },
                [9, 13],
            )
        },
        Scope {
            digests: true,
            already: told.clone(),
            jumps: vec![100_000],
            ..scope(
                "digests, an order",
                &[both[0].clone(), both[1].clone()],
                Left { ticks: 2, ..none },
                [10, 14],
            )
        },
    ]
}
