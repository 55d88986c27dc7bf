//! Division of units among groups of requests in the order in which they are served.

/// Steps of the search for the minimum fraction; the result is off by less than a thousandth.
const SEARCH_STEPS: usize = 10;

/// Demand of one group.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Group {
    /// Units per second.
    pub(crate) units: f64,
    /// Requests per second.
    pub(crate) requests: f64,
}

impl Group {
    pub(crate) fn join(&mut self, other: &Group) {
        self.units += other.units;
        self.requests += other.requests;
    }
}

/// Groups in the order in which they are served.
#[derive(Clone, Debug)]
pub(crate) struct Queue<K> {
    groups: Vec<(K, Group)>,
}

impl<K: PartialEq> Queue<K> {
    /// Creates a queue without groups.
    pub(crate) fn new() -> Queue<K> {
        Queue { groups: Vec::new() }
    }

    /// Adds a group at the end of the queue.
    pub(crate) fn push(&mut self, key: K, group: Group) {
        self.groups.push((key, group));
    }

    /// Returns the units per second of all groups.
    pub(crate) fn units(&self) -> f64 {
        self.groups.iter().map(|(_, it)| it.units).sum()
    }

    /// Returns the fraction of a group's demand that is served with `granted` units per second.
    /// Each group is served at least `min_ratio` times as often as all requests.
    pub(crate) fn fraction(&self, key: K, granted: f64, min_ratio: f64) -> f64 {
        let (mut low, mut high) = (0.0, (granted / self.units()).min(1.0));
        for _ in 0..SEARCH_STEPS {
            let middle = (low + high) / 2.0;
            if middle < min_ratio * self.served(granted, middle) {
                low = middle;
            } else {
                high = middle;
            }
        }
        let fractions = self.fractions(granted, high);
        fractions.zip(&self.groups).find(|(_, (it, _))| *it == key).map_or(0.0, |(it, _)| it)
    }

    /// Returns the fraction of all requests that are served.
    fn served(&self, granted: f64, min_fraction: f64) -> f64 {
        let requests: f64 = self.groups.iter().map(|(_, it)| it.requests).sum();
        let fractions = self.fractions(granted, min_fraction);
        let served = fractions.zip(&self.groups).map(|(it, (_, group))| it * group.requests);
        served.sum::<f64>() / requests
    }

    /// Returns the fraction of each group that is served if none is served less than
    /// `min_fraction`.
    fn fractions(&self, granted: f64, min_fraction: f64) -> impl Iterator<Item = f64> {
        let mut rest = granted - min_fraction * self.units();
        self.groups.iter().map(move |(_, it)| {
            let further = rest.max(0.0).min((1.0 - min_fraction) * it.units);
            rest -= further;
            min_fraction + further / it.units
        })
    }
}
