//! The checks at the end of a simulation.

use std::collections::BTreeMap;

use super::simulation::{Simulation, Violation};
use super::world::{ServedBlock, PRICES};
use crate::account::{Account, Block, BlockEnd, StatementReason};
use crate::messages::BlockId;
use crate::Credits;

/// A block's amounts according to the account's statement.
#[derive(Debug, Default, Clone, Copy)]
struct StatedBlock {
    settled: Credits,
    unsettled: Credits,
}

fn stated_blocks(account: &Account) -> BTreeMap<BlockId, StatedBlock> {
    let mut blocks: BTreeMap<BlockId, StatedBlock> = BTreeMap::new();
    for line in account.statement() {
        match line.reason {
            StatementReason::Settled(id) => blocks.entry(id).or_default().settled += line.amount,
            StatementReason::Unsettled(id) => blocks.entry(id).or_default().unsettled += line.amount,
            StatementReason::Refill(_) | StatementReason::Leased(_) | StatementReason::Returned(_) => {}
        }
    }
    blocks
}

impl Simulation<'_> {
    /// Checks that no block is still leased, and compares each block's debits and unsettled amount with what the servers received.
    pub(super) fn check_end(&mut self) -> Result<(), Violation> {
        let core = self.core.take().ok_or("no core")?;
        let totals = core.account.totals();
        if totals.refilled != self.refills.values().sum::<Credits>() {
            return Err(format!("refilled {} for {:?}", totals.refilled, self.refills));
        }
        if totals.leased != 0 {
            return Err(format!("never settled: {totals:?}"));
        }
        let stated = stated_blocks(&core.account);
        for (id, served) in std::mem::take(&mut self.served) {
            let block = core.account.block(id).ok_or(format!("{id:?} was granted and is unknown"))?;
            self.check_block(block, stated.get(&id).copied().unwrap_or_default(), &served)?;
        }
        Ok(())
    }

    fn check_block(
        &mut self,
        block: &Block,
        stated: StatedBlock,
        served: &ServedBlock,
    ) -> Result<(), Violation> {
        let StatedBlock { settled, unsettled } = stated;
        let description = || {
            let ServedBlock { net, gross, .. } = served;
            format!("{settled} settled, {unsettled} unsettled, {net} executed, {gross} sent: {block:?}")
        };
        if matches!(block.end, Some(BlockEnd::Returned { .. })) && settled != served.net {
            return Err(format!("returned: {}", description()));
        }
        if settled > served.gross || settled + unsettled < served.net {
            return Err(format!("lost: {}", description()));
        }
        let Some(BlockEnd::Lost { ceiling }) = block.end else { return Ok(()) };
        // After a recovery without a ceiling, the whole amount counts as the ceiling.
        let is_certain = ceiling < block.amount;
        self.statistics.lost_blocks += 1;
        self.statistics.unsettled.add(unsettled);
        if is_certain {
            self.statistics.certain_unsettled.add(unsettled);
        }
        let bound = 2 * served.ceiling.max(PRICES[2]) + served.most_under_way;
        let holder_runs = self.proxies.iter().any(|proxy| proxy.holder == block.holder);
        if holder_runs || unsettled > bound && is_certain {
            return Err(format!("more than {bound}, or its holder runs: {}", description()));
        }
        Ok(())
    }
}
