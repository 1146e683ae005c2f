// Package config reads and checks the platform's settings file (TOML) and the operators'
// own settings (XML), and checks that the two are compatible.
//
// The package has no state and reads its files once, at the start. Package dynamicconfig
// applies the changes that operators make while controllers run on top of these settings.
// The names of the types and fields of the platform's file are part of the texts of its
// errors.
//
// Terms of the comments:
//   - platform's settings: the settings of one controller and of the deployment that it is
//     part of, given by the platform (Settings).
//   - operators' settings: the optional settings of those who administer the cluster
//     (Operator).
//   - configuration: teams, objectives, cordons of zones and machine types, and some of the
//     operators' settings, which operators can change while controllers run.
//   - lease of a controller, or node lease: a record in the key-value store that expires
//     unless the controller renews it; a controller that can't renew it stops acting.
//   - lease of a worker (lease_s): how long the tasks of a machine run on without a response
//     to a heartbeat, the report that the worker on the machine sends every report_s.
//   - watch: the request by which a controller reads changes of the records as they are made.
//   - gang: a job whose tasks all have to run at the same time.
//   - shard: a part of the machines that one controller at a time manages.
//   - wait table: the table by which a controller computes expected waits; it has the state of
//     each machine that the controller which manages the machine last published.
//   - record block: one value of the key-value store with the records of many machines.
//   - peer: another controller.
package config
