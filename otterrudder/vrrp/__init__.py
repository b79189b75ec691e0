"""VRRP: a server admits requests only as master. Implements RFC 9568 (VRRPv3), carried over UDP.

- Modules without I/O: `packet` and `authentication` encode and decode advertisements, `state_machine` is one
  virtual router, `tracking` lowers the priority by facts about the server, and `admission_gate` derives from
  the VRRP state whether requests are admitted.
- Modules that read files: `configuration_reader` (which returns a `configuration`) and `keys`.
- `instance` holds the objects of one group. `router` owns the socket (`datagrams`) and all instances.

VRRP is off unless a configuration file is given. The admission controller executes the gate's commands
(`AdmissionController.drain`, `AdmissionController.resume`).

The Active Router of the RFC is called master here, which is the usual term among operators."""
