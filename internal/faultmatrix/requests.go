package faultmatrix

// resendTest and claimTest are the tests that inject faults at each step of the
// handling of an idempotency key.
const (
	resendTest = "TestResendUnderEachFaultAtEachStep"
	claimTest  = "TestClaimUnderEachFaultAtEachStep"
)

// requestCells holds the cells of the steps of a request.
var requestCells = map[Step]map[Fault]Cell{
	Accept: {
		Death:               testedBy("endtoend", "TestKill"),
		Pause:               testedBy("configuration", "TestPausedInstanceRefusesUntilItHasHeard"),
		Slow:                notTested(issuePath, "callers that send their requests slowly"),
		LostMessage:         cannotOccur("a request that does not arrive is not accepted"),
		LostResponse:        testedBy("once", resendTest),
		TableServiceDown:    testedBy("configuration", "TestTableDownForAll", "TestStartingWhileTheTableIsDown"),
		InstanceListLag:     cannotOccur("accepting reads no list"),
		Burst:               notTested(issuePressure, "a bound on callers that one entry holds open"),
		TargetCrash:         cannotOccur("no target is chosen yet"),
		FaultyVersion:       cannotOccur("no target is chosen yet"),
		ConcurrentOperators: testedBy("configuration", "TestInstancesThatTakeWorkAreNeverBehindTheBound"),
	},
	Wait: {
		Death:               testedBy("once", resendTest),
		Pause:               testedBy("admission", "TestPausedEntryDoesNotUseExpiredCredits"),
		Slow:                testedBy("credit", "TestLimiterYieldsToASlowdownAndReturns"),
		LostMessage:         testedBy("admission", "TestLostDatagrams"),
		LostResponse:        cannotOccur("reports and grants state the whole and have no further effect; either may be lost or repeated"),
		TableServiceDown:    cannotOccur("waiting reads and writes no row"),
		InstanceListLag:     testedBy("directory", "TestOutageKeepsTheLastList"),
		Burst:               testedBy("admission", "TestNoShedWhileLowerRuns", "TestBurstOfALargeAccountCostsASmallOneLittle"),
		TargetCrash:         testedBy("admission", "TestFailingTargetIsEjectedAndTriedGently", "TestHalfOfAPoolIsNeverEjected"),
		FaultyVersion:       notTested(issueMoves, "requests that wait for a version while it is taken back"),
		ConcurrentOperators: notTested(issuePressure, "requests that wait while their pool changes"),
	},
	Claim: {
		Death:               testedBy("once", claimTest, "TestHolderDiedMeansUnknown"),
		Pause:               testedBy("once", claimTest, "TestPausedHolderDoesNotSendLate"),
		Slow:                testedBy("once", claimTest),
		LostMessage:         testedBy("once", claimTest, "TestWithdrawnWriteDidNothing"),
		LostResponse:        testedBy("once", "TestLostAnswerIsSettledByReadingBack", "TestClaimWrittenButUnreadableIsGivenBack"),
		TableServiceDown:    testedBy("once", claimTest, "TestTableDownRefusesNotRunAtTheDeadline"),
		InstanceListLag:     cannotOccur("a claim is a row, found without the list"),
		Burst:               testedBy("once", "TestClaimsShareTransactions"),
		TargetCrash:         cannotOccur("the claim ends before the target is called"),
		FaultyVersion:       cannotOccur("the claim ends before the target is called"),
		ConcurrentOperators: notTested(issueOnce, "a route that becomes idempotent while a claim is under way"),
	},
	Dispatch: {
		Death:               testedBy("once", resendTest, claimTest),
		Pause:               testedBy("once", "TestTicketOfAnEarlierTermIsVoid", "TestPausedHolderDoesNotSendLate"),
		Slow:                notTested(issuePath, "a target that takes connections slowly"),
		LostMessage:         testedBy("dispatch", "TestARequestThatMayHaveLeftIsNotSentAgain"),
		LostResponse:        testedBy("dispatch", "TestARequestThatMayHaveLeftIsNotSentAgain"),
		TableServiceDown:    testedBy("once", resendTest, claimTest),
		InstanceListLag:     testedBy("directory", "TestLeavingTargetIsOutOfUseEverywhereAtOnce", "TestFirstReaderOfALeavingTargetTellsTheOthers"),
		Burst:               testedBy("admission", "TestCreditsNeverExceedTheTarget", "TestConcurrentCallers"),
		TargetCrash:         testedBy("dispatch", "TestARefusedConnectionProvesThatNothingWasSent"),
		FaultyVersion:       testedBy("admission", "TestVersionsLimitTheTargets"),
		ConcurrentOperators: notTested(issueAgreement, "a target that leaves the tables between its choice and the dispatch"),
	},
	Stream: {
		Death:               testedBy("once", resendTest),
		Pause:               notTested(issueOnce, "an entry paused while it passes a stream on"),
		Slow:                testedBy("answer", "TestWriterWaitsForThePrimaryReaderOnly", "TestStalledPrimaryLosesItsPlace"),
		LostMessage:         testedBy("entry", "TestACutStreamIsResumedAndNotRepeated"),
		LostResponse:        cannotOccur("events have no effect elsewhere; a cut stream is a lost message"),
		TableServiceDown:    cannotOccur("a stream writes no row before its end"),
		InstanceListLag:     notTested(issueAgreement, "a stream at a target that leaves"),
		Burst:               testedBy("admission", "TestPreemptsInTimeForADeadline"),
		TargetCrash:         testedBy("entry", "TestAStreamWithoutItsEndIsNotPassedAsComplete"),
		FaultyVersion:       testedBy("move", "TestMovesByKind"),
		ConcurrentOperators: notTested(issueAgreement, "a stream at a target that leaves the tables"),
	},
	Answer: {
		Death:               testedBy("once", resendTest, claimTest),
		Pause:               testedBy("once", resendTest, claimTest),
		Slow:                testedBy("once", claimTest),
		LostMessage:         testedBy("entry", "TestAStreamWithoutItsEndIsNotPassedAsComplete"),
		LostResponse:        testedBy("once", claimTest),
		TableServiceDown:    testedBy("once", claimTest),
		InstanceListLag:     cannotOccur("the answer comes on the connection of its request"),
		Burst:               testedBy("once", "TestRecordsAgeAndAreBounded"),
		TargetCrash:         testedBy("entry", "TestRefusalsSayWhetherTheRequestRan"),
		FaultyVersion:       testedBy("move", "TestMovesByKind"),
		ConcurrentOperators: cannotOccur("the answer is the target's, whatever tables are in force"),
	},
}
