//! Breadth-first search of all states that a model can reach.

use std::{
    cell::Cell,
    fmt,
    hash::{
        Hash,
        Hasher, //
    },
    rc::Rc,
    sync::Arc, //
};

use pathfinding::prelude::bfs_reach;

/// A specification: its initial state, the events that are possible in a state, and its invariants.
///
/// The search stores a state as the events that lead to it and replays them when the state is needed.
/// For models whose states can be copied, the states that are not expanded yet are stored as well.
pub struct ProtocolModel<S, E> {
    /// Creates the initial state.
    pub start: Box<dyn Fn() -> S>,
    /// Returns the events that are possible in a state.
    pub events: fn(&S) -> Vec<E>,
    /// Copies a state; `None` if its aggregates cannot be copied.
    pub copy: Option<fn(&S) -> S>,
    /// Applies an event to a state.
    pub apply: fn(&mut S, &E),
    /// Returns a digest of everything that later events depend on.
    pub digest: fn(&S) -> u128,
    /// Returns a description of the invariant that does not hold, if there is one.
    pub violation: fn(&S) -> Option<String>,
}

/// A path from the initial state to one in which an invariant does not hold.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CounterExample {
    /// The events, in order.
    pub events: Vec<String>,
    /// The invariant that does not hold, and why.
    pub violation: String,
}

impl fmt::Display for CounterExample {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (number, event) in self.events.iter().enumerate() {
            writeln!(f, "{:2}. {event}", number + 1)?;
        }
        write!(f, "=> {}", self.violation)
    }
}

/// Result of a search.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SearchReport {
    /// Number of distinct states, including the initial one.
    pub states: usize,
    /// Number of events that were applied.
    pub transitions: usize,
    /// Largest number of events on the shortest path to a state.
    pub depth: usize,
    /// Shortest path to a state in which an invariant does not hold. The search stops there.
    pub counter_example: Option<CounterExample>,
}

struct PathStep<E> {
    event: E,
    previous: Option<Arc<PathStep<E>>>,
}

/// A state that the search reached, identified by its digest, with a shortest path to it.
struct SearchNode<S, E> {
    digest: u128,
    depth: usize,
    state: Rc<Cell<Option<S>>>,
    path: Option<Arc<PathStep<E>>>,
    violation: Option<Arc<str>>,
}

impl<S, E> Clone for SearchNode<S, E> {
    fn clone(&self) -> Self {
        Self {
            digest: self.digest,
            depth: self.depth,
            state: self.state.clone(),
            path: self.path.clone(),
            violation: self.violation.clone(),
        }
    }
}

impl<S, E> PartialEq for SearchNode<S, E> {
    fn eq(&self, other: &Self) -> bool {
        self.digest == other.digest
    }
}

impl<S, E> Eq for SearchNode<S, E> {}

impl<S, E> Hash for SearchNode<S, E> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.digest.hash(state);
    }
}

impl<S, E: Clone> SearchNode<S, E> {
    fn events(&self) -> Vec<E> {
        let mut events = Vec::with_capacity(self.depth);
        let mut step = self.path.as_ref();
        while let Some(current) = step {
            events.push(current.event.clone());
            step = current.previous.as_ref();
        }
        events.reverse();
        events
    }
}

impl<S, E: Clone + fmt::Display> ProtocolModel<S, E> {
    fn replay(&self, events: &[E]) -> S {
        let mut state = (self.start)();
        for event in events {
            (self.apply)(&mut state, event);
        }
        state
    }

    fn node(&self, state: S, path: Option<Arc<PathStep<E>>>, depth: usize) -> SearchNode<S, E> {
        // The digest must be computed first, because checking a balance updates the account.
        let digest = (self.digest)(&state);
        let violation = (self.violation)(&state).map(Arc::from);
        SearchNode {
            digest,
            depth,
            state: Rc::new(Cell::new(self.copy.map(|_| state))),
            path,
            violation,
        }
    }

    fn successors(&self, node: &SearchNode<S, E>) -> Vec<SearchNode<S, E>> {
        let path = node.events();
        let parent = node.state.take().unwrap_or_else(|| self.replay(&path));
        let next = (self.events)(&parent);
        let visit = |event: E| {
            let copy = self.copy.map(|copy| copy(&parent));
            let mut state = copy.unwrap_or_else(|| self.replay(&path));
            (self.apply)(&mut state, &event);
            let previous = node.path.clone();
            let step = Arc::new(PathStep { event, previous });
            self.node(state, Some(step), node.depth + 1)
        };
        next.into_iter().map(visit).collect()
    }

    /// Visits all reachable states in breadth-first order, up to the first one in which an invariant
    /// does not hold.
    pub fn explore(&self) -> SearchReport {
        let start = self.node((self.start)(), None, 0);
        let mut report = SearchReport::default();
        let transitions = Cell::new(0);
        let successors = |node: &SearchNode<S, E>| {
            let next = self.successors(node);
            transitions.set(transitions.get() + next.len());
            next
        };
        for node in bfs_reach(start, successors) {
            report.states += 1;
            report.depth = report.depth.max(node.depth);
            if let Some(violation) = &node.violation {
                report.counter_example = Some(CounterExample {
                    events: node.events().iter().map(E::to_string).collect(),
                    violation: violation.to_string(),
                });
                break;
            }
        }
        report.transitions = transitions.get();
        report
    }
}
