// Package protocol defines the messages of all CBOR interfaces: those of users, workers,
// the key-value store and the cloud. It encodes, decodes and validates them.
//
// The package has no state and sends nothing. The struct tags hold the platform's themed
// wire names; the rest of the program uses the standard terms of cluster scheduling. Tags
// never change. Field names never change either, because some of these types are embedded
// in messages between controllers, which net/rpc encodes by field name.
//
// Terms:
//   - worker: the agent on a machine, which starts and stops tasks there; its agent epoch is a
//     number that starts at 1 and rises each time its lease expires and it kills its tasks.
//   - heartbeat: the regular report of a worker to the controller that holds its shard. Each
//     accepted one renews the worker's lease; when that expires, the worker ends its tasks.
//   - shard: a part of the machines, served by one controller, its holder.
//   - attempt: one start of a task on a machine.
//   - gang: a job whose tasks all run at the same time.
//   - fencing token: a number that only increases; workers refuse commands with a lower one
//     than they have observed. It is the epoch of the worker's shard or, without shards, the
//     term: the number of the view, the list of the controllers that take part.
//   - idempotency key: names a request, so that a repetition of it has no further effect.
//   - on-demand and spot machines: the cloud may reclaim the latter at short notice.
//   - lease of the key-value store: keys that were written under it are deleted when it
//     expires.
//
// Fields of jobs:
//
//	id            ID           id of the job
//	berth         Class        class of jobs with the same objectives
//	crew          Team         team of users
//	rig           Kind         job array, gang or service
//	tide          Priority     priority for preemption
//	hauls         Tasks        number of tasks; in a heartbeat, the states of tasks
//	cores         CPUs         number of processors of a task or of a machine type
//	gpus          GPUs         number of GPUs of a task or of a machine type
//	memory_gb     MemoryGB     memory of a task or of a machine type
//	hullcast      Image        container image that the tasks run
//	image_gb      ImageGB      size of the image
//	hulls         Types        machine types that a job may use, or those of the catalogue
//	quay          Zone         zone, a failure domain
//	together      OneZone      whether all tasks must run in the same zone
//	scatter       Spread       whether at most half of the tasks, rounded up, may be in one zone
//	driftstock    Spot         whether a job may use spot machines, or a machine is one
//	passage_s     EstimateS    estimated run time of a task
//	logmark_s     CheckpointS  checkpoint interval
//	stow_s        CheckpointDurationS        time to save a checkpoint
//	landfall_s    DeadlineS    deadline, relative to the submission
//	submitted_ms  SubmittedMS  time at which the job was accepted
//	bearing       State        state of a job, a task or a machine
//	done          Done         number of finished tasks
//	running       Running      number of running tasks
//
// Fields of workers:
//
//	vessel        Machine       id of the machine
//	address       Address       network address
//	hull          Type          machine type
//	watch         AgentEpoch    incarnation of the agent
//	logline       Seq           sequence number of the heartbeat
//	helm          Term          fencing token of commands (shard epoch, or term of the view)
//	recall_s      NoticeS       time until the cloud reclaims the spot machine
//	haul          Task          task id
//	launch        Attempt       attempt number of a task
//	wreckcause    Cause         why a task ended
//	saved         Checkpointed  whether the task has saved a checkpoint
//	orders        Orders        commands to a worker
//	order         Op            operation of a command
//	slack_s       GraceS        grace period before a stopped task is killed
//	harbormaster  Leader        controller that holds the worker's shard
//	error         Error         error message of a response
//
// Fields of the key-value store:
//
//	path        Key         key
//	value       Value       value
//	entry       Version     version of a key
//	mooring     Lease       lease id
//	ttl_ms      TTLMS       time to live of a lease
//	ledgerline  Revision    revision of the store
//	entries     Items       items of a page
//	more        More        whether another page follows
//	if          Conditions  conditions of a transaction
//	then        Changes     changes of a transaction
//	write       Put         key to write, or key that was written
//	drop        Delete      key to delete, or key that was deleted
//	failed      Failed      keys whose conditions did not hold
//	news        Events      changes that a watch returns
//
// Fields of the cloud:
//
//	sku            Name        name of a machine type
//	cache_gb       CacheGB     size of the image cache
//	pull_gb_per_s  FetchGBPS   rate at which images are fetched
//	price          Price       price of an on-demand machine per hour (see TypeInfo)
//	market_price   SpotPrice   price of a spot machine per hour
//	ready_s        BootS       time to provision a machine
//	quays          AllowZones  zones that have the machine type
//	charter        Name        idempotency key of a provision request
//	number         Count       number of machines
//	fleet          Machines    ids or descriptions of machines
//	held_s         AgeS        seconds from the request of a machine to the moment that the list describes
package protocol
