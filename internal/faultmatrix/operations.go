package faultmatrix

// applyFaultsTest is the test that injects each fault at each step of an apply.
const applyFaultsTest = "TestEveryFaultAtEveryStepOfAnApply"

// operationCells holds the cells of the steps of configuration, moves and
// shutdown.
var operationCells = map[Step]map[Fault]Cell{
	Apply: {
		Death:               testedBy("configuration", "TestAcceptedSurvivesItsAcceptorAndTheTable"),
		Pause:               notTested(issueAgreement, "an acceptor paused between its write and the confirmation"),
		Slow:                testedBy("configuration", applyFaultsTest),
		LostMessage:         testedBy("configuration", applyFaultsTest, "TestLostWriteIsRepeated"),
		LostResponse:        testedBy("configuration", applyFaultsTest, "TestLostAnswerIsSettledByReadingBack"),
		TableServiceDown:    testedBy("configuration", applyFaultsTest, "TestApplyWhileTheTableIsDownChangesNothing"),
		InstanceListLag:     cannotOccur("an apply counts the members that it hears, and not the list"),
		Burst:               testedBy("configuration", "TestHistoryOfConcurrentAppliesAndReadsIsLinearizable"),
		TargetCrash:         cannotOccur("no target takes part"),
		FaultyVersion:       notTested(issueMoves, "an apply for a pool whose version is being taken back"),
		ConcurrentOperators: testedBy("configuration", "TestOfRacingOperatorsOneWins", "TestHistoryOfConcurrentAppliesAndReadsIsLinearizable"),
	},
	Adopt: {
		Death:               testedBy("configuration", "TestRelayReachesAllThroughDeadPeers"),
		Pause:               testedBy("configuration", "TestPausedInstanceRefusesUntilItHasHeard"),
		Slow:                notTested(issueAgreement, "a table service that answers slowly"),
		LostMessage:         testedBy("configuration", "TestPollFindsWhatNoPushBrought", "TestInstanceThatHearsNeitherAcceptorNorTableFollows"),
		LostResponse:        cannotOccur("adopting swaps a pointer within the process"),
		TableServiceDown:    testedBy("configuration", "TestTableDownForAll", "TestTableAndAcceptorGoDownRightAfterTheAcceptance"),
		InstanceListLag:     testedBy("membership", "TestMembersFindEachOtherByListThatLagsAndFails"),
		Burst:               notTested(issueProof, "adopting under full load"),
		TargetCrash:         cannotOccur("no target takes part"),
		FaultyVersion:       cannotOccur("tables name versions; whether one is good is found by its move"),
		ConcurrentOperators: testedBy("configuration", "TestVersionNeverFalls"),
	},
	LoadVersion: {
		Death:               testedBy("lease", "TestSuccessorWaitsOutThePredecessorsOrders"),
		Pause:               testedBy("lease", "TestHolderPausedDuringItsReadSendsNothing"),
		Slow:                testedBy("lease", "TestLateOrder"),
		LostMessage:         notTested(issueAgreement, "an order that never arrives"),
		LostResponse:        testedBy("lease", "TestOrderIsGivenOnceAlthoughAnswersAreLost"),
		TableServiceDown:    testedBy("lease", "TestLeaseRunsOutWhileTheTableIsDown"),
		InstanceListLag:     notTested(issueAgreement, "an order to a target that was replaced"),
		Burst:               notTested(issueMoves, "loading while the old version is full"),
		TargetCrash:         testedBy("lease", "TestTargetThatStaysSilentEndsWithTheLease"),
		FaultyVersion:       notTested(issueMoves, "a version that does not load; no instance orders loads yet"),
		ConcurrentOperators: notTested(issueMoves, "a second version named while a target loads the first"),
	},
	Advance: {
		Death:               testedBy("move", "TestAnalyzerDeathMidMove"),
		Pause:               notTested(issueMoves, "an analyzer paused before its row"),
		Slow:                testedBy("move", "TestMovesByKind"),
		LostMessage:         testedBy("move", "TestLostDatagrams", "TestEntryCutOffHoldsShare"),
		LostResponse:        testedBy("move", "TestUnknownOutcome"),
		TableServiceDown:    testedBy("move", "TestMovesByKind"),
		InstanceListLag:     notTested(issueMoves, "new targets that the list shows late"),
		Burst:               notTested(issueMoves, "a burst during a move"),
		TargetCrash:         testedBy("move", "TestMovesByKind"),
		FaultyVersion:       testedBy("move", "TestMovesByKind"),
		ConcurrentOperators: testedBy("move", "TestOperatorsEdit"),
	},
	RollBack: {
		Death:               testedBy("move", "TestAnalyzerDeathMidMove"),
		Pause:               notTested(issueMoves, "an entry paused while the others take back"),
		Slow:                testedBy("move", "TestMovesByKind"),
		LostMessage:         testedBy("move", "TestMarkSurvivesRestart", "TestLostDatagrams"),
		LostResponse:        notTested(issueMoves, "a row of a version taken back whose answer is lost; TestUnknownOutcome has a good version only"),
		TableServiceDown:    testedBy("move", "TestTakenBackDuringOutage"),
		InstanceListLag:     cannotOccur("a version is taken back by its name, whatever targets are listed"),
		Burst:               notTested(issueMoves, "the old version's room when the share returns in a burst"),
		TargetCrash:         testedBy("move", "TestMovesByKind"),
		FaultyVersion:       testedBy("move", "TestMovesByKind"),
		ConcurrentOperators: testedBy("move", "TestTakenBackStaysUntilNamedAgain"),
	},
	Drain: {
		Death:               notTested(issueAgreement, "the death of the instance that first saw a target leave"),
		Pause:               notTested(issueAgreement, "an entry paused while a target leaves"),
		Slow:                notTested(issueAgreement, "streams that outlast the notice"),
		LostMessage:         notTested(issueAgreement, "a lost rumour of a leaving target"),
		LostResponse:        testedBy("lease", "TestDrainIsGivenUntilAnswered"),
		TableServiceDown:    cannotOccur("a leaving target is known by the list and by rumours; no row is read"),
		InstanceListLag:     testedBy("directory", "TestLeavingTargetIsOutOfUseEverywhereAtOnce"),
		Burst:               notTested(issuePressure, "a target that leaves in a burst"),
		TargetCrash:         notTested(issueAgreement, "a leaving target that crashes"),
		FaultyVersion:       cannotOccur("a leaving target is out of use, whatever its version"),
		ConcurrentOperators: notTested(issueAgreement, "tables that name a leaving target again"),
	},
	Shutdown: {
		Death:               cannotOccur("it is the death at the step that was under way"),
		Pause:               notTested(issuePath, "an instance paused while it shuts down"),
		Slow:                testedBy("peer", "TestCloseDoesNotWaitForAPeerThatSaysNothing"),
		LostMessage:         notTested(issuePath, "a lost offer of waiting requests to a peer"),
		LostResponse:        notTested(issuePath, "a lost answer to waiting requests that were passed on"),
		TableServiceDown:    notTested(issueOnce, "shards released while the table service is down"),
		InstanceListLag:     notTested(issueAgreement, "a list that still shows an instance that has left"),
		Burst:               testedBy("admission", "TestDrainGivesWaitingRequestsBack"),
		TargetCrash:         notTested(issuePath, "a target's crash under an instance that shuts down"),
		FaultyVersion:       cannotOccur("an instance that shuts down follows no version"),
		ConcurrentOperators: notTested(issueAgreement, "an apply at an instance that shuts down"),
	},
}

// Pairs is a sample of combinations of two simultaneous faults.
var Pairs = []Pair{
	{Death, TableServiceDown, testedBy("configuration", "TestTableAndAcceptorGoDownRightAfterTheAcceptance")},
	{Death, LostResponse, testedBy("once", resendTest)},
	{Death, Death, testedBy("once", resendTest)},
	{LostResponse, TableServiceDown, testedBy("configuration", "TestTableThatStaysDownAfterALostAnswerLeavesTheOutcomeOpen")},
	{LostResponse, ConcurrentOperators, testedBy("configuration", "TestLostAnswerIsSettledAlthoughOthersAppliedSince")},
	{LostMessage, ConcurrentOperators, testedBy("configuration", "TestLostWriteThatAnotherOvertookIsAConflict")},
	{FaultyVersion, Slow, testedBy("move", "TestMovesByKind")},
	{FaultyVersion, TableServiceDown, testedBy("move", "TestMovesByKind")},
	{FaultyVersion, TargetCrash, testedBy("move", "TestMovesByKind")},
	{FaultyVersion, Death, testedBy("move", "TestAnalyzerDeathMidMove")},
	{FaultyVersion, LostMessage, testedBy("move", "TestLostDatagrams")},
	{Pause, TableServiceDown, notTested(issueOnce, "a holder paused while the table service is down")},
	{Burst, TargetCrash, notTested(issuePressure, "a crash in a burst")},
	{Burst, Death, notTested(issuePressure, "the death of a coordinator in a burst")},
	{InstanceListLag, TargetCrash, notTested(issueAgreement, "a crashed target that the list still shows")},
}

// CellAt returns the cell of a fault during a step, or an empty cell if none is
// listed.
func CellAt(step Step, fault Fault) Cell {
	if cell, listed := requestCells[step][fault]; listed {
		return cell
	}
	return operationCells[step][fault]
}
