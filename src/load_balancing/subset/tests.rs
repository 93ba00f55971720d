//! Tests of the rings of local and remote endpoints.

use super::*;

const ENDPOINT: EndpointId = 7;

#[test]
fn endpoint_is_never_in_both_rings() {
    use Locality::{Local, Remote};
    let mut subset = Subset::new(&Settings::default());
    for (locality, ready, expected) in [
        (Local, true, 1),
        (Remote, true, 1),
        (Local, true, 1),
        (Remote, false, 0),
        (Remote, true, 1),
        (Local, false, 0),
    ] {
        if ready {
            subset.insert(ENDPOINT, locality);
        } else {
            subset.remove(ENDPOINT);
        }
        assert_eq!(subset.ready_endpoints(), expected, "{locality:?}, ready {ready}");
        assert_eq!(subset.next_window(0.0).len(), expected);
    }
}
