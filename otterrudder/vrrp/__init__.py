"""VRRP awareness: admit only as master. The state machine of RFC 9568 (VRRPv3), carried over UDP.

Pure: `packet` and `authentication` (bytes to advertisements and back), `state_machine` (one virtual router),
`tracking` (facts that lower a priority), `admission_gate` (what a state means for admission). Files:
`configuration` and its reader, `keys`. `instance` holds the parts of one group, `router` is the actor with
the socket (`datagrams`). Off unless a file is named. The admission controller carries out the gate's commands
(`AdmissionController.drain`, `AdmissionController.resume`).

What the RFC calls the Active Router is the master here, as operators say."""
