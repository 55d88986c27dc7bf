//! Statuses that promise that a request has not run.

use policy::promise;
use policy::promise::Author;
use policy::promise::Evidence;
use policy::promise::Response;

const AUTHORS: [Author; 2] = [Author::Endpoint, Author::Daemon];
const EVIDENCE: [Evidence; 3] = [Evidence::Unsent, Evidence::Declined, Evidence::None];

#[test]
fn a_status_that_promises_not_run_needs_evidence() {
    let check = |author: Author, evidence: Evidence, is_idempotent: bool, passes: bool| {
        for status in [408, 421, 429, 503] {
            let response = Response { status, author, evidence, is_idempotent };

            let expected = if passes { status } else { 502 };
            assert_eq!(response.checked_status(), expected, "{response:?}");
        }
    };

    for author in AUTHORS {
        for is_idempotent in [false, true] {
            check(author, Evidence::Unsent, is_idempotent, true);
            check(author, Evidence::Declined, is_idempotent, true);
        }
    }
    check(Author::Endpoint, Evidence::None, false, false);
    check(Author::Daemon, Evidence::None, false, false);
    check(Author::Daemon, Evidence::None, true, false);
    check(Author::Endpoint, Evidence::None, true, true);
}

#[test]
fn statuses_that_promise_nothing_are_unchanged() {
    let promises = (100..1_000).filter(|it| promise::is_made_by(*it));
    assert_eq!(promises.collect::<Vec<u16>>(), [408, 421, 429, 503]);

    for status in (200..600).filter(|it| !promise::is_made_by(*it)) {
        for author in AUTHORS {
            for evidence in EVIDENCE {
                let response = Response { status, author, evidence, is_idempotent: false };

                assert_eq!(response.checked_status(), status);
            }
        }
    }
}

#[test]
fn one_attempt_without_evidence_outweighs_all_others() {
    for first in EVIDENCE {
        for second in EVIDENCE {
            let both = first.and(second);

            assert_eq!(both, second.and(first));
            assert_eq!(both.is_proof(), first.is_proof() && second.is_proof());
        }
    }
}
