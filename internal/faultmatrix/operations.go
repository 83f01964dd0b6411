package faultmatrix

// everyApply strikes at every operation of an apply.
const everyApply = "TestEveryFaultAtEveryStepOfAnApply"

// operationCells are the steps of configuration, moves and shutdown.
var operationCells = map[Step]map[Fault]Cell{
	Apply: {
		Death:               proved("configuration", "TestAcceptedSurvivesItsAcceptorAndTheTable"),
		Pause:               open(issueAgreement, "an acceptor paused between its write and the confirmation"),
		Slow:                proved("configuration", everyApply),
		LostMessage:         proved("configuration", everyApply, "TestLostWriteIsRepeated"),
		LostResponse:        proved("configuration", everyApply, "TestLostAnswerIsSettledByReadingBack"),
		TableServiceDown:    proved("configuration", everyApply, "TestApplyWhileTheTableIsDownChangesNothing"),
		InstanceListLag:     cannot("an apply counts the members that it hears, and not the list"),
		Burst:               proved("configuration", "TestHistoryOfConcurrentAppliesAndReadsIsLinearizable"),
		TargetCrash:         cannot("no target takes part"),
		FaultyVersion:       open(issueMoves, "an apply for a pool whose version is being taken back"),
		ConcurrentOperators: proved("configuration", "TestOfRacingOperatorsOneWins", "TestHistoryOfConcurrentAppliesAndReadsIsLinearizable"),
	},
	Adopt: {
		Death:               proved("configuration", "TestRelayReachesAllThroughDeadPeers"),
		Pause:               proved("configuration", "TestPausedInstanceRefusesUntilItHasHeard"),
		Slow:                open(issueAgreement, "a table service that answers slowly"),
		LostMessage:         proved("configuration", "TestPollFindsWhatNoPushBrought", "TestInstanceThatHearsNeitherAcceptorNorTableFollows"),
		LostResponse:        cannot("adopting swaps a pointer within the process"),
		TableServiceDown:    proved("configuration", "TestTableDownForAll", "TestTableAndAcceptorGoDownRightAfterTheAcceptance"),
		InstanceListLag:     proved("membership", "TestMembersFindEachOtherByListThatLagsAndFails"),
		Burst:               open(issueProof, "adopting under full load"),
		TargetCrash:         cannot("no target takes part"),
		FaultyVersion:       cannot("tables name versions; whether one is good is found by its move"),
		ConcurrentOperators: proved("configuration", "TestVersionNeverFalls"),
	},
	LoadVersion: {
		Death:               proved("lease", "TestSuccessorWaitsOutThePredecessorsOrders"),
		Pause:               proved("lease", "TestHolderPausedDuringItsReadSendsNothing"),
		Slow:                proved("lease", "TestLateOrder"),
		LostMessage:         open(issueAgreement, "an order that never arrives"),
		LostResponse:        proved("lease", "TestOrderIsGivenOnceAlthoughAnswersAreLost"),
		TableServiceDown:    proved("lease", "TestLeaseRunsOutWhileTheTableIsDown"),
		InstanceListLag:     open(issueAgreement, "an order to a target that was replaced"),
		Burst:               open(issueMoves, "loading while the old version is full"),
		TargetCrash:         proved("lease", "TestTargetThatStaysSilentEndsWithTheLease"),
		FaultyVersion:       open(issueMoves, "a version that does not load; no instance orders loads yet"),
		ConcurrentOperators: open(issueMoves, "a second version named while a target loads the first"),
	},
	Advance: {
		Death:               proved("move", "TestAnalyzerDeathMidMove"),
		Pause:               open(issueMoves, "an analyzer paused before its row"),
		Slow:                proved("move", "TestMovesByKind"),
		LostMessage:         proved("move", "TestLostDatagrams", "TestEntryCutOffHoldsShare"),
		LostResponse:        proved("move", "TestUnknownOutcome"),
		TableServiceDown:    proved("move", "TestMovesByKind"),
		InstanceListLag:     open(issueMoves, "new targets that the list shows late"),
		Burst:               open(issueMoves, "a burst during a move"),
		TargetCrash:         proved("move", "TestMovesByKind"),
		FaultyVersion:       proved("move", "TestMovesByKind"),
		ConcurrentOperators: proved("move", "TestOperatorsEdit"),
	},
	RollBack: {
		Death:               proved("move", "TestAnalyzerDeathMidMove"),
		Pause:               open(issueMoves, "an entry paused while the others take back"),
		Slow:                proved("move", "TestMovesByKind"),
		LostMessage:         proved("move", "TestMarkSurvivesRestart", "TestLostDatagrams"),
		LostResponse:        open(issueMoves, "a row of a version taken back whose answer is lost; TestUnknownOutcome has a good version only"),
		TableServiceDown:    proved("move", "TestTakenBackDuringOutage"),
		InstanceListLag:     cannot("a version is taken back by its name, whatever targets are listed"),
		Burst:               open(issueMoves, "the old version's room when the share returns in a burst"),
		TargetCrash:         proved("move", "TestMovesByKind"),
		FaultyVersion:       proved("move", "TestMovesByKind"),
		ConcurrentOperators: proved("move", "TestTakenBackStaysUntilNamedAgain"),
	},
	Drain: {
		Death:               open(issueAgreement, "the death of the instance that first saw a target leave"),
		Pause:               open(issueAgreement, "an entry paused while a target leaves"),
		Slow:                open(issueAgreement, "streams that outlast the notice"),
		LostMessage:         open(issueAgreement, "a lost rumour of a leaving target"),
		LostResponse:        proved("lease", "TestDrainIsGivenUntilAnswered"),
		TableServiceDown:    cannot("a leaving target is known by the list and by rumours; no row is read"),
		InstanceListLag:     proved("directory", "TestLeavingTargetIsOutOfUseEverywhereAtOnce"),
		Burst:               open(issuePressure, "a target that leaves in a burst"),
		TargetCrash:         open(issueAgreement, "a leaving target that crashes"),
		FaultyVersion:       cannot("a leaving target is out of use, whatever its version"),
		ConcurrentOperators: open(issueAgreement, "tables that name a leaving target again"),
	},
	Shutdown: {
		Death:               cannot("it is the death at the step that was under way"),
		Pause:               open(issuePath, "an instance paused while it shuts down"),
		Slow:                proved("peer", "TestCloseDoesNotWaitForAPeerThatSaysNothing"),
		LostMessage:         open(issuePath, "a lost offer of waiting requests to a peer"),
		LostResponse:        open(issuePath, "a lost answer to waiting requests that were passed on"),
		TableServiceDown:    open(issueOnce, "shards released while the table service is down"),
		InstanceListLag:     open(issueAgreement, "a list that still shows an instance that has left"),
		Burst:               proved("admission", "TestDrainGivesWaitingRequestsBack"),
		TargetCrash:         open(issuePath, "a target's crash under an instance that shuts down"),
		FaultyVersion:       cannot("an instance that shuts down follows no version"),
		ConcurrentOperators: open(issueAgreement, "an apply at an instance that shuts down"),
	},
}

// Pairs are a sample of two faults at once.
var Pairs = []Pair{
	{Death, TableServiceDown, proved("configuration", "TestTableAndAcceptorGoDownRightAfterTheAcceptance")},
	{Death, LostResponse, proved("once", resends)},
	{Death, Death, proved("once", resends)},
	{LostResponse, TableServiceDown, proved("configuration", "TestTableThatStaysDownAfterALostAnswerLeavesTheOutcomeOpen")},
	{LostResponse, ConcurrentOperators, proved("configuration", "TestLostAnswerIsSettledAlthoughOthersAppliedSince")},
	{LostMessage, ConcurrentOperators, proved("configuration", "TestLostWriteThatAnotherOvertookIsAConflict")},
	{FaultyVersion, Slow, proved("move", "TestMovesByKind")},
	{FaultyVersion, TableServiceDown, proved("move", "TestMovesByKind")},
	{FaultyVersion, TargetCrash, proved("move", "TestMovesByKind")},
	{FaultyVersion, Death, proved("move", "TestAnalyzerDeathMidMove")},
	{FaultyVersion, LostMessage, proved("move", "TestLostDatagrams")},
	{Pause, TableServiceDown, open(issueOnce, "a holder paused while the table service is down")},
	{Burst, TargetCrash, open(issuePressure, "a crash in a burst")},
	{Burst, Death, open(issuePressure, "the death of a coordinator in a burst")},
	{InstanceListLag, TargetCrash, open(issueAgreement, "a crashed target that the list still shows")},
}

// CellAt returns the cell of a fault at a step; it is empty where none is listed.
func CellAt(step Step, fault Fault) Cell {
	if cell, listed := requestCells[step][fault]; listed {
		return cell
	}
	return operationCells[step][fault]
}
