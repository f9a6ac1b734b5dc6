//! A Merkle tree over the items by ranges of their keys' numbers, and what two copies say to each other to become equal.
//!
//! It has 16 branches at each node, and a node with at most [`LEAF`] items has none; so its shape tells nothing but which
//! items there are. The digest of a range is the sum of its items' marks, so a change costs one path. What is said rests on
//! no earlier word: any part may get lost, come twice or late, or cross a change on either side.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use bincode::{Decode, Encode};

use crate::item::{Cells, Item, Line, Version};

/// A node with more items has branches.
const LEAF: usize = 16;
/// Branches of a node.
const BRANCHES: u8 = 16;
/// A node at this depth has no branches: its range is one number.
const DEEPEST: u8 = 16;
/// An answer ends after so many bytes, and the one part or item that passes them. At 2 Mbit/s it takes a quarter of a second,
/// so that heartbeats behind it are in time.
pub const PIECE: usize = 64 * 1024;

/// Bytes on the wire, about: of a digest, of a line, and of an item besides its name and value.
const SUM_SIZE: usize = 9;
const LINE_SIZE: usize = 24;
const ITEM_SIZE: usize = 16;

fn size(item: &Item) -> usize {
    ITEM_SIZE + item.key.name.len() + item.value.as_ref().map_or(0, Vec::len)
}

/// The numbers whose upper `4 * depth` bits are those of `first`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Range {
    first: u64,
    depth: u8,
}

impl Range {
    /// All numbers.
    pub const ALL: Range = Range { first: 0, depth: 0 };

    /// The range at a depth that a number is in.
    fn around(number: u64, depth: u8) -> Range {
        let free = 64 - 4 * u32::from(depth.min(DEEPEST));
        let first = if free == 64 { 0 } else { number >> free << free };
        Range { first, depth: depth.min(DEEPEST) }
    }

    /// One that came from outside, as all others are.
    fn sound(self) -> Range {
        Range::around(self.first, self.depth)
    }

    fn contains(self, number: u64) -> bool {
        Range::around(number, self.depth) == self
    }

    /// One of the 16 ranges that this one consists of.
    fn branch(self, n: u8) -> Option<Range> {
        if self.depth >= DEEPEST || n >= BRANCHES {
            return None;
        }
        let first = self.first | u64::from(n) << (60 - 4 * u32::from(self.depth));
        Some(Range { first, depth: self.depth + 1 })
    }
}

/// Which branch a number is in at a node of this depth.
fn digit(number: u64, depth: u8) -> u8 {
    (number >> (60 - 4 * u32::from(depth))) as u8 & 0xf
}

/// A part of what one copy says to another.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Encode, Decode)]
pub enum Part {
    /// The digests of a range's branches, from one of them on.
    Digests {
        /// The range.
        range: Range,
        /// The first branch that is told of.
        from: u8,
        /// Of it and those after it. 0: there are no items.
        sums: Vec<u64>,
    },
    /// All items that there are in a range.
    Lines {
        /// The range.
        range: Range,
        /// Item by item.
        lines: Vec<Line>,
    },
    /// The items of these numbers are wanted.
    Want(Vec<u64>),
}

impl Part {
    /// What a copy without items says: all are wanted.
    pub fn nothing() -> Part {
        Part::Lines { range: Range::ALL, lines: Vec::new() }
    }

    fn first(&self) -> u64 {
        match self {
            Part::Digests { range, from, .. } => range.sound().branch(*from).map_or(u64::MAX, |r| r.first),
            Part::Lines { range, .. } => range.sound().first,
            Part::Want(numbers) => numbers.iter().copied().min().unwrap_or(u64::MAX),
        }
    }
}

/// What a copy says to what another has said. With neither items nor parts there is nothing to be said.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Answer {
    /// Items that are newer here or unknown there.
    pub items: Vec<Item>,
    /// What is to be compared or wanted next.
    pub parts: Vec<Part>,
    size: usize,
}

impl Answer {
    /// Whether there is nothing to be said.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty() && self.parts.is_empty()
    }

    fn full(&self) -> bool {
        self.size >= PIECE
    }

    fn item(&mut self, item: &Item) {
        self.size += size(item);
        self.items.push(item.clone());
    }

    fn part(&mut self, part: Part) {
        self.size += match &part {
            Part::Digests { sums, .. } => SUM_SIZE * (1 + sums.len()),
            Part::Lines { lines, .. } => SUM_SIZE + LINE_SIZE * lines.len(),
            Part::Want(numbers) => SUM_SIZE * numbers.len(),
        };
        self.parts.push(part);
    }
}

/// An item and its key's number.
type Numbered = (u64, Arc<Item>);

#[derive(Debug, Clone)]
enum Below {
    /// In the order of their numbers, then of their keys.
    Items(Vec<Numbered>),
    Branches(Box<[Tree; BRANCHES as usize]>),
}

/// A node and all below it.
#[derive(Debug, Clone)]
pub(crate) struct Tree {
    /// The sum of the items' marks.
    sum: u64,
    count: usize,
    below: Below,
}

impl Default for Tree {
    fn default() -> Tree {
        Tree { sum: 0, count: 0, below: Below::Items(Vec::new()) }
    }
}

impl Tree {
    pub(crate) fn digest(&self) -> u64 {
        self.sum
    }

    /// Puts an item in, in place of the one of its key, if there is one.
    pub(crate) fn put(&mut self, item: Arc<Item>) {
        self.put_at(0, item.key.number(), item);
    }

    /// By how much the sum and the count have grown.
    fn put_at(&mut self, depth: u8, number: u64, item: Arc<Item>) -> (u64, usize) {
        let grown = match &mut self.below {
            Below::Branches(branches) => {
                branches[usize::from(digit(number, depth))].put_at(depth + 1, number, item)
            }
            Below::Items(items) => {
                let mark = item.mark();
                match items.binary_search_by(|(n, old)| (n, &old.key).cmp(&(&number, &item.key))) {
                    Ok(at) => {
                        let old = std::mem::replace(&mut items[at].1, item);
                        (mark.wrapping_sub(old.mark()), 0)
                    }
                    Err(at) => {
                        items.insert(at, (number, item));
                        (mark, 1)
                    }
                }
            }
        };
        self.sum = self.sum.wrapping_add(grown.0);
        self.count += grown.1;
        match &mut self.below {
            Below::Items(items) if self.count > LEAF && depth < DEEPEST => {
                let items = std::mem::take(items);
                let mut branches: [Tree; BRANCHES as usize] = Default::default();
                for (number, item) in items {
                    branches[usize::from(digit(number, depth))].put_at(depth + 1, number, item);
                }
                self.below = Below::Branches(Box::new(branches));
            }
            _ => {}
        }
        grown
    }

    /// Takes an item out that is in.
    pub(crate) fn remove(&mut self, item: &Item) {
        self.remove_at(0, item.key.number(), item);
    }

    fn remove_at(&mut self, depth: u8, number: u64, item: &Item) -> bool {
        let gone = match &mut self.below {
            Below::Branches(branches) => {
                branches[usize::from(digit(number, depth))].remove_at(depth + 1, number, item)
            }
            Below::Items(items) => {
                let at = items.iter().position(|(n, old)| *n == number && old.key == item.key);
                at.map(|at| items.remove(at)).is_some()
            }
        };
        if gone {
            self.sum = self.sum.wrapping_sub(item.mark());
            self.count -= 1;
            if self.count <= LEAF && matches!(self.below, Below::Branches(_)) {
                let mut items = Vec::with_capacity(LEAF);
                self.each(&mut |number, item| items.push((number, item.clone())));
                self.below = Below::Items(items);
            }
        }
        gone
    }

    fn each<'a>(&'a self, take: &mut impl FnMut(u64, &'a Arc<Item>)) {
        match &self.below {
            Below::Items(items) => items.iter().for_each(|(number, item)| take(*number, item)),
            Below::Branches(branches) => branches.iter().for_each(|branch| branch.each(take)),
        }
    }

    /// The node that a range lies in, and its own range: of the range alone, or a leaf around it.
    fn node(&self, range: Range) -> (&Tree, Range) {
        let mut node = self;
        for depth in 0..range.depth {
            match &node.below {
                Below::Branches(branches) => node = &branches[usize::from(digit(range.first, depth))],
                Below::Items(_) => return (node, Range::around(range.first, depth)),
            }
        }
        (node, range)
    }

    fn sum(&self, range: Range) -> u64 {
        match self.node(range) {
            (node, exact) if exact == range => node.sum,
            (Tree { below: Below::Items(items), .. }, _) => {
                let inside = items.iter().filter(|(number, _)| range.contains(*number));
                inside.fold(0, |sum, (_, item)| sum.wrapping_add(item.mark()))
            }
            _ => 0,
        }
    }

    /// What there is in a range: its branches' digests, or its items where they are few.
    fn part(&self, range: Range) -> Part {
        let (node, _) = self.node(range);
        match &node.below {
            Below::Branches(branches) => {
                let sums = branches.iter().map(|branch| branch.sum).collect();
                Part::Digests { range, from: 0, sums }
            }
            Below::Items(items) => {
                let inside = items.iter().filter(|(number, _)| range.contains(*number));
                Part::Lines { range, lines: inside.map(|(number, item)| (*number, item.version)).collect() }
            }
        }
    }

    /// The first leaf whose numbers reach a number of the range, from there on.
    fn leaf(&self, number: u64) -> (&[Numbered], Range) {
        match self.node(Range::around(number, DEEPEST)) {
            (Tree { below: Below::Items(items), .. }, range) => (items, range),
            (_, range) => (&[], range),
        }
    }

    /// Says what there is from a range on, up to the last number: for what the answer has no room for.
    fn rest(&self, range: Range, out: &mut Answer) {
        if range.depth == 0 {
            return out.parts.push(self.part(range));
        }
        for depth in (0..range.depth).rev() {
            let from = digit(range.first, depth) + u8::from(depth + 1 < range.depth);
            let parent = Range::around(range.first, depth);
            let sums: Vec<u64> =
                (from..BRANCHES).filter_map(|n| parent.branch(n)).map(|branch| self.sum(branch)).collect();
            if !sums.is_empty() {
                out.parts.push(Part::Digests { range: parent, from, sums });
            }
        }
    }

    /// Compares lines of a range with what is here: the range from which on there was no room.
    fn compare(&self, range: Range, lines: &[Line], out: &mut Answer) -> Result<(), Range> {
        let mut theirs: BTreeMap<u64, BTreeSet<Version>> = BTreeMap::new();
        for &(number, version) in lines.iter().filter(|(number, _)| range.contains(*number)) {
            theirs.entry(number).or_default().insert(version);
        }
        let mut want = Vec::new();
        let mut walk = Walk { tree: self, range, next: Some(range.first) };
        let mut ended = Ok(());
        while let Some((items, leaf)) = walk.leaf() {
            let mut here: BTreeMap<u64, Vec<&Arc<Item>>> = BTreeMap::new();
            for (number, item) in items.iter().filter(|(number, _)| range.contains(*number)) {
                here.entry(*number).or_default().push(item);
            }
            let of_leaf = theirs.range(leaf.first..).take_while(|(number, _)| leaf.contains(**number));
            let numbers: BTreeSet<u64> =
                here.keys().chain(of_leaf.map(|(number, _)| number)).copied().collect();
            for number in numbers {
                if out.full() {
                    ended = Err(leaf);
                    break;
                }
                let (own, there) = (here.get(&number), theirs.get(&number));
                let own = own.map_or(&[][..], |own| own);
                match (own, there.and_then(|all| all.first().filter(|_| all.len() == 1))) {
                    ([item], Some(version)) => {
                        if *version < item.version {
                            out.item(item);
                        } else if *version > item.version {
                            want.push(number);
                        }
                    }
                    // Two keys of one number: each side takes all that the other has, unless it has the same.
                    _ => {
                        let versions: BTreeSet<Version> = own.iter().map(|item| item.version).collect();
                        if there != Some(&versions) || versions.len() != own.len() {
                            own.iter().for_each(|item| out.item(item));
                            want.extend(there.filter(|all| !all.is_subset(&versions)).map(|_| number));
                        }
                    }
                }
            }
            if ended.is_err() {
                break;
            }
        }
        if !want.is_empty() {
            out.part(Part::Want(want));
        }
        ended
    }

    fn wanted(&self, numbers: &[u64], out: &mut Answer) -> Result<(), Range> {
        for &number in numbers.iter().collect::<BTreeSet<_>>() {
            let (items, leaf) = self.leaf(number);
            if out.full() {
                return Err(leaf);
            }
            items.iter().filter(|(n, _)| *n == number).for_each(|(_, item)| out.item(item));
        }
        Ok(())
    }

    fn differing(&self, range: Range, from: u8, sums: &[u64], out: &mut Answer) -> Result<(), Range> {
        for (n, &sum) in (from..BRANCHES).zip(sums) {
            let Some(branch) = range.branch(n).filter(|branch| self.sum(*branch) != sum) else { continue };
            if out.full() {
                return Err(branch);
            }
            if sum == 0 {
                self.compare(branch, &[], out)?;
            } else {
                out.part(self.part(branch));
            }
        }
        Ok(())
    }

    fn one(&self, part: &Part, out: &mut Answer) -> Result<(), Range> {
        match part {
            Part::Digests { range, from, sums } => self.differing(range.sound(), *from, sums, out),
            Part::Lines { range, lines } => self.compare(range.sound(), lines, out),
            Part::Want(numbers) => self.wanted(numbers, out),
        }
    }
}

/// Goes through the leaves of a range, or the one around it.
struct Walk<'a> {
    tree: &'a Tree,
    range: Range,
    next: Option<u64>,
}

impl<'a> Walk<'a> {
    fn leaf(&mut self) -> Option<(&'a [Numbered], Range)> {
        let number = self.next.filter(|number| self.range.contains(*number))?;
        let (items, leaf) = self.tree.leaf(number);
        let last = leaf.first | u64::MAX.checked_shr(4 * u32::from(leaf.depth)).unwrap_or(0);
        self.next = last.checked_add(1);
        Some((items, leaf))
    }
}

impl Cells {
    /// What is said first to one whose digest differs.
    pub fn compare(&self) -> Vec<Part> {
        vec![self.tree().part(Range::ALL)]
    }

    /// What is said to another copy's parts. Its bytes on the wire are about [`PIECE`] at most, besides the last item;
    /// what has no room is told of by digests, so that the other's next word leads there.
    pub fn answer(&self, parts: &[Part]) -> Answer {
        let mut parts: Vec<&Part> = parts.iter().collect();
        parts.sort_by_key(|part| part.first());
        let mut out = Answer::default();
        for part in parts {
            if let Err(from) = self.tree().one(part, &mut out) {
                self.tree().rest(from, &mut out);
                break;
            }
        }
        out
    }

    /// The digests of the [`Cells::RANGES`] ranges at the second depth.
    pub fn digests(&self) -> Vec<u64> {
        (0..Cells::RANGES).map(|n| self.tree().sum(Cells::range(n))).collect()
    }

    /// The items of one of those ranges.
    pub fn of_range(&self, n: usize) -> Vec<&Item> {
        let range = Cells::range(n);
        let mut all = Vec::new();
        self.tree().node(range).0.each(&mut |number, item| {
            if range.contains(number) {
                all.push(&**item);
            }
        });
        all
    }

    /// How many ranges there are at the second depth.
    pub const RANGES: usize = 256;

    fn range(n: usize) -> Range {
        Range { first: (n as u64) << 56, depth: 2 }
    }

    /// Whether items are few enough to be pushed at once: more are asked for piece by piece.
    pub fn are_few(items: &[Item]) -> bool {
        items.iter().map(size).sum::<usize>() <= PIECE / 2
    }
}
