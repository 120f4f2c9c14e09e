//! The fencing tokens that a claim reserves for the owner of a machine.
//!
//! The machine's record contains the last token of the range. Every later claim, by any
//! version of the program, begins above it. Within the range the owner increments its token
//! without a commit, so that the worker refuses late copies of the owner's earlier commands.

/// Number of tokens that a claim reserves.
pub const TOKENS_PER_CLAIM: u64 = 1024;

/// Number of remaining tokens below which the owner claims the machine again.
const RENEWAL_THRESHOLD: u64 = TOKENS_PER_CLAIM / 4;

/// The fencing tokens of one claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenRange {
    first: u64,
    last: u64,
}

impl TokenRange {
    /// Returns the range from the first to the last token.
    pub const fn new(first: u64, last: u64) -> Self {
        TokenRange { first, last }
    }

    /// Returns the range of a claim of a machine whose highest known token is `highest_known`.
    pub fn after(highest_known: u64) -> Self {
        TokenRange {
            first: highest_known.saturating_add(1),
            last: highest_known.saturating_add(TOKENS_PER_CLAIM),
        }
    }

    /// Returns the largest range of a claim with this recorded token. An older version of the
    /// program reserves a single token, so the range may begin before the actual one.
    pub fn recorded(last: u64) -> Self {
        TokenRange {
            first: last.saturating_sub(TOKENS_PER_CLAIM - 1).max(1),
            last,
        }
    }

    /// Returns the first token, with which the owner begins.
    pub fn first(self) -> u64 {
        self.first
    }

    /// Returns the last token, which the machine's record contains. It identifies the claim.
    pub fn last(self) -> u64 {
        self.last
    }

    /// Returns whether a token was given to the worker under this claim.
    pub fn contains(self, token: u64) -> bool {
        (self.first..=self.last).contains(&token)
    }

    /// Returns the token after `token`, or `None` if the range has no further one.
    pub fn next(self, token: u64) -> Option<u64> {
        (token < self.last).then(|| token + 1)
    }

    /// Returns whether so few tokens remain after `token` that the machine should be claimed
    /// again.
    pub fn is_nearly_exhausted(self, token: u64) -> bool {
        self.last.saturating_sub(token) < RENEWAL_THRESHOLD
    }
}
