package faultmatrix

// Guarantee is a property that must hold on the users' platform, with the
// mechanism that ensures it and the tests that cover it.
type Guarantee struct {
	// Statement describes the property in a few words.
	Statement string
	// Mechanism names the source files that ensure the property.
	Mechanism string
	Cell
	// DayFile is the name of a day file in deploy/days, without its extension, that
	// exercises the property under load. It is empty if only the built-in days of the
	// test bench do.
	DayFile string
}

// adapterPackage is the package whose tests run whole instances on the loopback
// interface.
const adapterPackage = "../platform"

// combineTests returns a cell with the tests of several cells.
func combineTests(cells ...Cell) Cell {
	var c Cell
	for _, cell := range cells {
		c.Tests = append(c.Tests, cell.Tests...)
	}
	return c
}

// Guarantees lists all guarantees in the order of the page, which follows the path
// of a request.
var Guarantees = []Guarantee{
	{
		"an answer is the target's own, whole and to this request", "gateway/run.go, dispatch/exchange.go",
		combineTests(
			testedBy(adapterPackage, "TestPlainAnswerIsPassedOnUnchanged"),
			testedBy("dispatch", "TestAnswerToAnotherRequestIsSkipped", "TestUnfinishedBodiesAreErrors",
				"TestConnectionWithBytesAfterTheAnswerIsNotKept", "TestBodyThatEndsWithTheConnectionIsWhole")),
		"reused-addresses",
	},
	{
		"only what a caller sent runs, for the account that holds its key", "platform/header.go, gateway/server.go",
		testedBy(adapterPackage, "TestRequestInsideABodyIsNoRequest", "TestPlainAnswerIsPassedOnUnchanged"), "",
	},
	{
		"a target that sends without end costs little memory and time", "dispatch/bounds.go, gateway/events.go",
		combineTests(testedBy(adapterPackage, "TestTargetThatSendsWithoutEnd", "TestTargetThatTricklesWithoutEnd", "TestTableWithoutEndIsNotRead"),
			testedBy("dispatch", "TestEndlessBytesBeforeABodyEndTheExchange", "TestEndlessBytesInABodyEndTheExchange",
				"TestDiscardIsBounded", "TestBodiesOfAllTargetsShareABound", "TestMemoryForBodiesFollowsTheInstancesLimit", "TestLongResponsesPass"),
			testedBy("gateway", "TestEndlessBytesEndAStreamOfEvents", "TestMoreEventsThanTheCallerAllowedEndAStream"),
			testedBy("../platform/soak", "TestEndlessResponsesOfManyTargetsStayWithinMemory")),
		"",
	},
	{
		"callers' long bodies fit into an instance's memory", "gateway/conn.go, gateway/server.go",
		testedBy("gateway", "TestBodiesWaitForMemory"), "",
	},
	{
		"what is known outlasts the store's return from a copy", "node/era.go, node/returns.go",
		combineTests(testedBy(adapterPackage, "TestInstancesFollowTheStoreAfterItsReturnFromACopy", "TestWatchStartsAnewInANewEra",
			"TestConfigurationDoesNotGoBackWithTheStore", "TestEndedRolloutIsWrittenAgainAfterTheStoresReturn",
			"TestTargetThatHasLeftStaysOutOfUseOnTheWordOfACopy", "TestTargetMissingFromACopyStaysInUse",
			"TestVerdictsAreAnnouncedAgainAfterTheStoresReturn", "TestOrderAfterTheStoresReturnIsTakenUp"),
			testedBy("rollout", "TestOrderAfterTheReturnFromACopyReplacesTheOneBefore"),
			testedBy("node", "TestListOfACopyIsHeldAgainstWhatIsKnown"), testedBy("../platform/soak", "TestSoak")),
		"",
	},
	{
		"a request that may run once runs once", "gateway/run.go",
		combineTests(testedBy(adapterPackage, "TestRequestThatMayRunOnceIsNotRepeated"), testedBy("../platform/soak", "TestSoak")),
		"reused-addresses",
	},
	{
		"a refusal that says not run is true", "gateway/run.go",
		combineTests(testedBy(adapterPackage, "TestRefusedEverywhereIsToldNotRun", "TestTargetsPromiseWithoutTheMarkIsNotPassedOn",
			"TestRefusalWrittenAgainIsNotTakenForThatOfAnotherRequest"),
			testedBy("gateway", "TestRefusalsPromiseOnlyWhatIsTrue")), "hot-then-everyone-returns",
	},
	{
		"a stream's events are whole, in order and of one run", "gateway/stream.go, gateway/events.go",
		combineTests(testedBy(adapterPackage, "TestCutStreamIsResumedAtAnotherTarget", "TestCutStreamThatMayRunOnceEndsWithoutItsEnd",
			"TestErrorOfTheNextTargetIsNoPartOfAStream"),
			testedBy("gateway", "TestEventsKeepTheirBytes", "TestStreamThatEndsInsideAnEventIsNoWholeStream")),
		"silent-everywhere",
	},
	{
		"repeats stay within the route's attempts and the shared budget", "gateway/run.go, routing/window.go",
		combineTests(testedBy(adapterPackage, "TestRepeatableRequestIsSentElsewhereWithinItsAttempts"),
			testedBy("gateway", "TestTargetsThatWereReplacedUseNoAttempts"), testedBy("routing", "TestWindowBudgetBoundsRepeatsAndRecovers")), "hot-then-everyone-returns",
	},
	{
		"a target stops soon after the caller has gone", "gateway/conn.go",
		combineTests(testedBy(adapterPackage, "TestTargetIsToldThatTheCallerHasGone"), testedBy("dispatch", "TestContextCutsAnExchange")),
		"hot-then-everyone-returns",
	},
	{
		"an account stays within its quota over all instances", "quota/quota.go",
		testedBy("quota", "TestPartedInstancesStayWithinQuota", "TestRestartOfAllStaysWithinQuota",
			"TestNewInstanceTakesOverLevel", "TestTotalOfAPeerThatHasJustStartedIsTakenOff"), "restart-under-a-hot-account",
	},
	{
		"a target is not sent more than it has slots for, whoever coordinates", "placement/server.go, placement/takeover.go",
		testedBy("placement", "TestBurstAtManyInstancesOverbooksNoTarget", "TestNewCoordinatorCountsWhatRuns",
			"TestRequestGrantedDuringTakeoverIsReportedAtOnce",
			"TestTakeoverHearsWhatRunsBeforeItGivesPlaces", "TestPlacesOfASilentInstanceAreReleased",
			"TestSlotIsReleasedWhereItWasGranted"),
		"restart-under-a-hot-account",
	},
	{
		"a target gets no more requests, and rejects no more, than it states", "schedule/ratelimit.go, schedule/brittle.go",
		combineTests(testedBy(adapterPackage, "TestRateLimitOfATargetBindsAllArrivals", "TestLoadBeyondTheLimitsOfAllTargetsIsServedUpToThem",
			"TestRateLimitEndsWithItsStatement", "TestBrittleTargetsDoNotFallOver"),
			testedBy("placement", "TestRateLimitHoldsWithoutACoordinatorAndAfterATakeover"),
			testedBy("schedule", "TestRequestsDoNotWaitForARateLimit", "TestRejectionsOfABrittleTargetStayWithinItsLimit"),
			testedBy("../platform/soak", "TestPlannedWork")),
		"",
	},
	{
		"nothing is sent to an evacuated failure domain", "node/evacuation.go, gateway/evacuation.go",
		combineTests(testedBy(adapterPackage, "TestNothingIsSentToAnEvacuatedDomain", "TestEvacuationReachesInstancesThatAreCutOff",
			"TestRequestsAreRefusedIfAllDomainsAreEvacuated", "TestEvacuatedDomainsAreNotReadWhileTheyAreWatched"),
			testedBy("node", "TestHigherPositionOfEvacuationsWins", "TestChangesApplyOnlyToTheSetThatTheyFollow",
				"TestPassedOnConfirmationsDoNotCirculate", "TestRequestsWaitForTheSetAfterAStartAndAFreeze"),
			testedBy("gateway", "TestRequestWithAGrantForAnEvacuatedTargetGoesElsewhere", "TestStreamIsNotResumedAtAnEvacuatedTarget",
				"TestRequestWaitsUntilItIsKnownWhatIsEvacuated"),
			testedBy("relay", "TestRequestsAreNotPassedOnAfterAnEvacuation")),
		"",
	},
	{
		"a cold target gets no more requests than its service declares", "schedule/ratelimit.go, node/cold.go",
		combineTests(testedBy(adapterPackage, "TestColdTargetsGetNoMoreThanTheyTake", "TestColdLimitHoldsWhileCoordinatorsEnd"),
			testedBy("node", "TestTargetsWithOldEntriesAreAssumedToBeCold", "TestColdTimeCountsFromTheFirstSightOfAnEntry"),
			testedBy("schedule", "TestColdTargetGetsNoMoreThanItsLimitUnderLoad", "TestColdLimitHoldsAcrossATakeover",
				"TestLowerOneOfTheStatedAndTheColdLimitBinds")),
		"",
	},
	{
		"callers of instances that have lost their paths to targets are served, and so are the others", "dispatch/path.go, relay/client.go",
		combineTests(testedBy(adapterPackage, "TestCallersOfPartitionedInstancesAreServed", "TestCallersOfPartitionedInstancesAreServedAmongMany",
			"TestCallersAreServedWhileOneOfTwoRelayingInstancesShutsDown", "TestConnectionsOfOthersDoNotHoldAShutdownUp"),
			testedBy("dispatch", "TestFailuresAreNoEvidenceAgainstATargetThatOthersReach", "TestRequestsGoThroughAnotherInstanceWhileThePathIsLost",
				"TestSilentExchangesOnALostPathEnd", "TestSilenceOfAReachableTargetIsNoLostPath",
				"TestPathOnWhichConnectionsSucceedNowAndThenStaysLost", "TestAllPathsCountAsLostOnceMostAre",
				"TestTargetsHeardLastComeFirst"),
			testedBy("node", "TestAllKnownInstancesMayRelay"),
			testedBy("relay", "TestWhoseWordMakesATargetUnreachable", "TestEndOfTheTargetIsToldFromThatOfTheInstanceBetween")),
		"partitioned-instances",
	},
	{
		"places are given while coordinators die, freeze or are cut off", "placement/client.go, node/roster.go",
		combineTests(testedBy("placement", "TestPlacesAreGivenWithoutASilentCoordinator", "TestGroupOfASilentCoordinatorIsTakenOver",
			"TestContestedTakeoverEndsWithOne", "TestOneOfTwoRostersWinsEverywhere", "TestLeasesDoNotExpireRightAfterAPause",
			"TestGroupsAreNotTakenOverRightAfterAPause", "TestPauseDuringATakeoverProlongsIt"),
			testedBy("node", "TestInstanceThatWasPausedKeepsTheRosterUntilItHearsTheOthers", "TestInstanceThatIsAloneAfterAPauseCoordinates")),
		"frozen-and-late",
	},
	{
		"a leaving target gets nothing new, and an address reused is no target", "node/targets.go",
		combineTests(testedBy(adapterPackage, "TestLeavingTargetGetsNothingMore", "TestAddressOfAnotherTargetIsLeftAlone"),
			testedBy("node", "TestTargetListDropsMissingEntriesButAfterAnOutage"), testedBy("../platform/soak", "TestPlannedWork")), "reused-addresses",
	},
	{
		"a configuration is soon in force and never goes back", "node/follow.go, catalog/holder.go",
		combineTests(testedBy(adapterPackage, "TestConfigurationIsInForceAndNeverGoesBack", "TestInstanceLearnsFromOthersWhileTheStoreIsDown"),
			testedBy("catalog", "TestHolderNeverGoesBack"), testedBy("peer", "TestShortCallsLeaveASilentConnection"),
			testedBy("../platform/soak", "TestPlannedWork")), "revoked-while-refused",
	},
	{
		"an odd entry of another writer does no harm", "catalog/catalog.go",
		testedBy(adapterPackage, "TestOddEntryAmongTargetsIsNoHarm", "TestOddAnnouncementsNameNoInstance",
			"TestTokenCountsOutOfRangeAreNotLostInASum", "TestDurationsOutOfRangeAreBounded"), "",
	},
	{
		"an instance that stops answers what it has read", "node/shutdown.go",
		combineTests(testedBy(adapterPackage, "TestShutdownAnswersWhatIsUnderWay", "TestRequestsAtTheEndOfTheGracePeriodAreAnswered"),
			testedBy("gateway", "TestWaitingRequestIsNotPlacedAtTheEndOfAShutdown", "TestOpenConnectionsAreCountedAfterAShutdownThatTimesOut",
				"TestRequestThatMayNotEndInTimeIsNotBegun", "TestWaitingRequestIsRefusedWhenTooLittleOfAShutdownIsLeft"),
			testedBy("../platform/soak", "TestPlannedWork", "TestLateRequestsAreNotBegunAndCut",
				"TestAnswerIsWholeBesideAFurtherRequestInAStop", "TestSlowReadersOfAProcessThatStopsGetWholeAnswers")), "shutdown-in-outage",
	},
	{
		"a bad version gets a small share and is taken back", "rollout/rollout.go, rollout/trial.go, node/rollouts.go",
		combineTests(testedBy("rollout", "TestOrdersEndAsTheVersionDeserves", "TestEndIsNeverUndone", "TestTwoAnalyzersNeverUndoAnEnd",
			"TestPausedAnalyzerDoesNotCompleteWhatOthersHaveRolledBack", "TestSuspendedAnalyzerStoresNoCompletionThatOthersHaveRolledBack",
			"TestStoredEndIsAdoptedByInstancesThatEndedTheOrderOtherwise", "TestInstancesNextInRankStoreAnEndThatTheAnalyzerDoesNotStore"),
			testedBy("gateway", "TestVersionOnTrialGetsItsShareOfEachPartOfASplitRoute"),
			testedBy(adapterPackage, "TestBadVersionIsTakenBackByAllInstances", "TestGoodVersionIsCompleted",
				"TestOrderReachesInstancesThatDoNotWatch", "TestAttemptsThatOutlastTheirDeadlineCountAgainstAVersion",
				"TestSlowVersionIsNotCompletedOnAFewResponses", "TestRollbackIsStoredWhileTheAnalyzerDoesNotStoreIt")), "hasty",
	},
	{
		"a request that crashes targets is refused after three, and no other one", "quarantine/decision.go, quarantine/suspects.go",
		combineTests(
			testedBy(adapterPackage, "TestRequestThatCrashesTargetsIsStopped", "TestRequestsBesideCrashesStayServed"),
			testedBy("quarantine", "TestRequestThatCrashesTargetsIsRefusedEverywhere", "TestRequestInFlightAtSilentTargetsIsRefused",
				"TestBreaksOfLivingTargetsAreNoCrashes", "TestPopularRequestIsNotRefusedWhenTargetsEndTogether",
				"TestNewInstanceLearnsOfOldCrashes")),
		"",
	},
	{
		"all is served again after all instances were lost", "node/follow.go, node/gossip.go",
		testedBy("../platform/soak", "TestSoak", "TestReloadSignalDuringStart"), "shutdown-in-outage",
	},
	{
		"logging holds nothing up", "eventlog/eventlog.go",
		testedBy("eventlog", "TestBlockedOutputHoldsNobodyUpAndWarningsOutlastTheRest"), "",
	},
}
