package faultmatrix

// resends and claims are the tests that strike at every step of a key's life.
const (
	resends = "TestResendUnderEachFaultAtEachStep"
	claims  = "TestClaimUnderEachFaultAtEachStep"
)

// requestCells are the steps of a request.
var requestCells = map[Step]map[Fault]Cell{
	Accept: {
		Death:               proved("endtoend", "TestKill"),
		Pause:               proved("configuration", "TestPausedInstanceRefusesUntilItHasHeard"),
		Slow:                open(issuePath, "callers that send their requests slowly"),
		LostMessage:         cannot("a request that does not arrive is not accepted"),
		LostResponse:        proved("once", resends),
		TableServiceDown:    proved("configuration", "TestTableDownForAll", "TestStartingWhileTheTableIsDown"),
		InstanceListLag:     cannot("accepting reads no list"),
		Burst:               open(issuePressure, "a bound on callers that one entry holds open"),
		TargetCrash:         cannot("no target is chosen yet"),
		FaultyVersion:       cannot("no target is chosen yet"),
		ConcurrentOperators: proved("configuration", "TestInstancesThatTakeWorkAreNeverBehindTheBound"),
	},
	Wait: {
		Death:               proved("once", resends),
		Pause:               proved("admission", "TestPausedEntryDoesNotUseExpiredCredits"),
		Slow:                proved("credit", "TestLimiterYieldsToASlowdownAndReturns"),
		LostMessage:         proved("admission", "TestLostDatagrams"),
		LostResponse:        cannot("reports and grants state the whole and have no further effect; either may be lost or repeated"),
		TableServiceDown:    cannot("waiting reads and writes no row"),
		InstanceListLag:     proved("directory", "TestOutageKeepsTheLastList"),
		Burst:               proved("admission", "TestNoShedWhileLowerRuns", "TestBurstOfALargeAccountCostsASmallOneLittle"),
		TargetCrash:         proved("admission", "TestFailingTargetIsEjectedAndTriedGently", "TestHalfOfAPoolIsNeverEjected"),
		FaultyVersion:       open(issueMoves, "requests that wait for a version while it is taken back"),
		ConcurrentOperators: open(issuePressure, "requests that wait while their pool changes"),
	},
	Claim: {
		Death:               proved("once", claims, "TestHolderDiedMeansUnknown"),
		Pause:               proved("once", claims, "TestPausedHolderDoesNotSendLate"),
		Slow:                proved("once", claims),
		LostMessage:         proved("once", claims, "TestWithdrawnWriteDidNothing"),
		LostResponse:        proved("once", "TestLostAnswerIsSettledByReadingBack", "TestClaimWrittenButUnreadableIsGivenBack"),
		TableServiceDown:    proved("once", claims, "TestTableDownRefusesNotRunAtTheDeadline"),
		InstanceListLag:     cannot("a claim is a row, found without the list"),
		Burst:               proved("once", "TestClaimsShareTransactions"),
		TargetCrash:         cannot("the claim ends before the target is called"),
		FaultyVersion:       cannot("the claim ends before the target is called"),
		ConcurrentOperators: open(issueOnce, "a route that becomes idempotent while a claim is under way"),
	},
	Dispatch: {
		Death:               proved("once", resends, claims),
		Pause:               proved("once", "TestTicketOfAnEarlierTermIsVoid", "TestPausedHolderDoesNotSendLate"),
		Slow:                open(issuePath, "a target that takes connections slowly"),
		LostMessage:         proved("dispatch", "TestARequestThatMayHaveLeftIsNotSentAgain"),
		LostResponse:        proved("dispatch", "TestARequestThatMayHaveLeftIsNotSentAgain"),
		TableServiceDown:    proved("once", resends, claims),
		InstanceListLag:     proved("directory", "TestLeavingTargetIsOutOfUseEverywhereAtOnce", "TestFirstReaderOfALeavingTargetTellsTheOthers"),
		Burst:               proved("admission", "TestCreditsNeverExceedTheTarget", "TestConcurrentCallers"),
		TargetCrash:         proved("dispatch", "TestARefusedConnectionProvesThatNothingWasSent"),
		FaultyVersion:       proved("admission", "TestVersionsLimitTheTargets"),
		ConcurrentOperators: open(issueAgreement, "a target that leaves the tables between its choice and the dispatch"),
	},
	Stream: {
		Death:               proved("once", resends),
		Pause:               open(issueOnce, "an entry paused while it passes a stream on"),
		Slow:                proved("answer", "TestWriterWaitsForThePrimaryReaderOnly", "TestStalledPrimaryLosesItsPlace"),
		LostMessage:         proved("entry", "TestACutStreamIsResumedAndNotRepeated"),
		LostResponse:        cannot("events have no effect elsewhere; a cut stream is a lost message"),
		TableServiceDown:    cannot("a stream writes no row before its end"),
		InstanceListLag:     open(issueAgreement, "a stream at a target that leaves"),
		Burst:               proved("admission", "TestPreemptsInTimeForADeadline"),
		TargetCrash:         proved("entry", "TestAStreamWithoutItsEndIsNotPassedAsComplete"),
		FaultyVersion:       proved("move", "TestMovesByKind"),
		ConcurrentOperators: open(issueAgreement, "a stream at a target that leaves the tables"),
	},
	Answer: {
		Death:               proved("once", resends, claims),
		Pause:               proved("once", resends, claims),
		Slow:                proved("once", claims),
		LostMessage:         proved("entry", "TestAStreamWithoutItsEndIsNotPassedAsComplete"),
		LostResponse:        proved("once", claims),
		TableServiceDown:    proved("once", claims),
		InstanceListLag:     cannot("the answer comes on the connection of its request"),
		Burst:               proved("once", "TestRecordsAgeAndAreBounded"),
		TargetCrash:         proved("entry", "TestRefusalsSayWhetherTheRequestRan"),
		FaultyVersion:       proved("move", "TestMovesByKind"),
		ConcurrentOperators: cannot("the answer is the target's, whatever tables are in force"),
	},
}
