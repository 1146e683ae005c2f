// Package protocol has the messages of all CBOR interfaces: those of users, of workers,
// of the key-value store and of the cloud. It encodes, decodes and validates them.
//
// The package has no state and sends nothing. It is the only place with the platform's
// themed words, which are the tags of fields; the rest of the program uses the terms of
// the field. Tags never change. Names of fields do not either: some of these types are
// parts of messages between controllers, which net/rpc encodes by field name.
//
// Fields of jobs:
//
//	id            ID           id of the job
//	berth         Class        class of jobs with the same objectives
//	crew          Team         team of users
//	rig           Kind         job array, gang or service
//	tide          Priority     priority for preemption
//	hauls         Tasks        number of tasks; in a heartbeat, their states
//	cores         CPUs         processors of a task or of a machine type
//	gpus          GPUs         GPUs of a task or of a machine type
//	memory_gb     MemoryGB     memory of a task or of a machine type
//	hullcast      Image        image that the tasks run
//	image_gb      ImageGB      size of the image
//	hulls         Types        machine types, allowed ones or those of the catalogue
//	quay          Zone         zone, a failure domain
//	together      OneZone      all tasks in the same zone
//	scatter       Spread       tasks on different machines
//	driftstock    Spot         spot machines, allowed or asked for
//	passage_s     EstimateS    estimated run time
//	logmark_s     CheckpointS  interval of checkpoints
//	stow_s        CheckpointDurationS        time to save a checkpoint
//	landfall_s    DeadlineS    deadline, after the submission
//	submitted_ms  SubmittedMS  time of acceptance
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
//	helm          Term          fencing token of commands
//	recall_s      NoticeS       time until the cloud reclaims the spot machine
//	haul          Task          id of a task
//	launch        Attempt       number of the start of a task
//	wreckcause    Cause         why a task ended
//	saved         Checkpointed  whether the task has a checkpoint
//	orders        Orders        commands to a worker
//	order         Op            operation of a command
//	slack_s       GraceS        grace period before a task is killed
//	harbormaster  Leader        controller that leads the worker's shard
//	error         Error         error message of a response
//
// Fields of the key-value store:
//
//	path        Key         key
//	value       Value       value
//	entry       Version     version of a key
//	mooring     Lease       lease
//	ttl_ms      TTLMS       time to live of a lease
//	ledgerline  Revision    revision of the store
//	entries     Items       keys and values of a page
//	more        More        whether another page follows
//	if          Conditions  conditions of a transaction
//	then        Changes     changes of a transaction
//	write       Put         key that is written
//	drop        Delete      key that is deleted
//	failed      Failed      keys whose conditions did not hold
//	news        Events      changes that a watch returns
//
// Fields of the cloud:
//
//	sku            Name        name of a machine type
//	cache_gb       CacheGB     size of the cache of images
//	pull_gb_per_s  FetchGBPS   rate at which images are fetched
//	price          Price       price of an on-demand machine
//	market_price   SpotPrice   price of a spot machine
//	ready_s        BootS       time to provision a machine
//	quays          AllowZones  zones that have the machine type
//	charter        Name        idempotency key of a request to provision machines
//	number         Count       number of machines
//	fleet          Machines    machines
//	held_s         AgeS        age of a machine
package protocol
