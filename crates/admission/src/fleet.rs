//! The proxies that share the tenants' quotas, as far as an allocating node knows them.

/// The limit of the sum of all shares of a quota's rate. The margin is for proxies that still hold outdated shares.
pub(crate) const MAX_TOTAL_SHARE: f64 = 0.95;
/// A proxy's share is at most this multiple of an even share, where there are many proxies.
const MAX_EVEN_SHARES: f64 = 2.0;
/// Where there are few, a tenant's clients may all be at one or two of them: the multiple is larger by this, divided by the
/// number of proxies.
const MORE_EVEN_SHARES_OF_FEW: f64 = 20.0;
/// The number of proxies may have grown by this factor since an unheard proxy last learned it and limited its share.
const MAX_GROWTH: f64 = 1.25;

/// The number of proxies, and how many of them an allocating node has not heard of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fleet {
    /// The number of proxies that share the quotas.
    pub proxies: usize,
    /// The number of proxies that are out of reach and may spend shares that a previous allocator granted.
    pub unheard: usize,
}

impl Fleet {
    /// A fleet in which every proxy is heard.
    pub fn heard(proxies: usize) -> Fleet {
        Fleet { proxies, unheard: 0 }
    }

    /// A fleet of which nothing is known but the number of proxies.
    pub fn unknown(proxies: usize) -> Fleet {
        Fleet { proxies, unheard: proxies.max(1) }
    }

    /// The limit of one proxy's share of a quota's rate. It bounds what has to be reserved for a proxy that is not heard, so that
    /// a few silent proxies among many do not take the rate away from all others.
    pub fn max_share(&self) -> f64 {
        let proxies = self.proxies.max(1) as f64;
        let even_shares = MAX_EVEN_SHARES + MORE_EVEN_SHARES_OF_FEW / proxies;
        (even_shares / proxies).min(MAX_TOTAL_SHARE)
    }

    /// The limit of the shares that all unheard proxies may hold together.
    pub fn max_unheard_share(&self) -> f64 {
        let earlier = Fleet::heard((self.proxies as f64 / MAX_GROWTH) as usize);
        (self.unheard as f64 * earlier.max_share()).min(MAX_TOTAL_SHARE)
    }
}
