"""The processes part of the scale experiment: hollow servers over the real protocols on loopback, counted and
timed from the outside.

`children` starts and ends processes, `usage` reads what they use, `bench` is a store with servers round it,
`members` measures plain members, `laws` fits what was measured, `measure` plays the whole part."""
