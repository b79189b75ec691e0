"""VRRP awareness: admit only as master. The state machine of RFC 9568 (VRRPv3), carried over UDP.

`packet` and `seal` turn bytes into adverts and back, `machine` is the state machine of one group, `track`
lowers a priority by facts, `gate` says what a state means for service, `group` reads the operators' TOML
file: all pure. `speaker` is the actor with the sockets. Off where no file is named; the module alone carries
out what the gate says (`AdmissionController.step_down`, `AdmissionController.step_up`).

The RFC's Active Router is what operators call the master; code and pages here say master, and Backup as the
RFC does."""
