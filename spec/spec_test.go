package spec

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// model is one Promela model and its mutants. Each mutant defines a macro that removes one
// rule of the design, and must violate an assertion.
type model struct {
	name string
	// mutants maps each macro to a part of the assertion that it violates.
	mutants map[string]string
}

const (
	runsAtMostOnce             = "(repeatable||(executions"
	notRunIsNeverFalse         = "(verdict!="
	acceptedNeverReverts       = "(next>accepted)"
	nodeRevisionNeverDecreases = ">highest["
	appliesOnlyAccepted        = "==specAcceptedAs["
	noLostUpdate               = "(spec==3)"
	changeAppliedOnce          = "!((spec&change))"
	appliedStays               = ">=inForce)"
	exposureStopsAfterRollback = "(rolledBackFor<=2)"
	evidenceIsCurrent          = "(shownFor==0)"
	finalStateStays            = "(state==0)"
	lastWriteApplied           = "(inForce[0]==said)"
	grantsBounded              = "(total<=2)"
	neverTakesOlder            = ">=known["
	allCatchUp                 = "known[2]==revision"
	fewReadStore               = "(calls<=1)"
	versionNeverDecreases      = ">=inForce["
	nodesConverge              = "(highest[0]==accepted)"
	coverageIsNeverOverstated  = "!(counted["
	harmlessNeverRefused       = "(quarantined&"
	crashesAreBounded          = "(crashes<7)"
	singleVersion              = "==pinned)"
	singleShardMap             = "==map)"
	maxDepthFlag               = "-m1000000"
	noErrors                   = "errors: 0"
	searchIncomplete           = "Search not completed"
)

var models = []model{
	{"attempt", map[string]string{
		"RETRY_LOST":               runsAtMostOnce,
		"HEDGE_NOT_REPEATABLE":     runsAtMostOnce,
		"CLIENT_RETRIES":           "",
		"GIVE_UP_IS_NOT_RUN":       notRunIsNeverFalse,
		"LOST_IS_NOT_RUN":          notRunIsNeverFalse,
		"CANCELED_IS_NOT_RUN":      notRunIsNeverFalse,
		"CANCELED_STAYS_QUEUED":    notRunIsNeverFalse,
		"EXPIRED_STILL_SENT":       notRunIsNeverFalse,
		"REPLY_WITHOUT_ATTEMPT_ID": notRunIsNeverFalse,
		"REPLY_WITHOUT_REQUEST_ID": notRunIsNeverFalse,
	}},
	{"configuration", map[string]string{
		"OPERATOR_DOES_NOT_READ":    changeAppliedOnce,
		"OPERATOR_WITHOUT_VERSION":  noLostUpdate,
		"STATUS_WITHOUT_VERSION":    acceptedNeverReverts,
		"REVISION_IGNORES_ACCEPTED": acceptedNeverReverts,
		"SPREAD_BEFORE_CONFIRMED":   appliesOnlyAccepted,
		"APPLY_LAST_RECEIVED":       nodeRevisionNeverDecreases,
		"FORGET_TOMBSTONE":          nodeRevisionNeverDecreases,
		"SERVE_BEFORE_SYNC":         appliedStays,
		"NO_DIGESTS":                nodesConverge,
	}},
	{"followers", map[string]string{
		"TAKE_OLDER":         neverTakesOlder,
		"FOLLOW_STALE":       allCatchUp,
		"AGE_BEGINS_ANEW":    allCatchUp,
		"NO_CALL_OF_ITS_OWN": allCatchUp,
		"NO_SEARCH":          allCatchUp,
		"AVOID_FOR_EVER":     fewReadStore,
	}},
	{"pools", map[string]string{
		"WINDOW_WITHOUT_LIFE":  grantsBounded,
		"NEW_POOL_GRANTS":      grantsBounded,
		"GRANTS_DO_NOT_END":    grantsBounded,
		"LIFE_FROM_ARRIVAL":    grantsBounded,
		"LATER_GRANT_PROLONGS": grantsBounded,
		"CLOCK_STANDS_STILL":   grantsBounded,
	}},
	{"quarantine", map[string]string{
		"SHARED_CRASH_COUNTS":          harmlessNeverRefused,
		"TRIALS_ALONE_CONTEST":         harmlessNeverRefused,
		"EQUAL_CRASHES_DO_NOT_CONTEST": harmlessNeverRefused,
		"CRASH_IS_LOST":                harmlessNeverRefused,
		"FEWER_CRASHES_CONTEST":        crashesAreBounded,
		"NO_LOCK":                      crashesAreBounded,
	}},
	{"restored", map[string]string{
		"FORGET_ERA":          lastWriteApplied,
		"CHANGES_ACROSS_ERAS": lastWriteApplied,
		"TAKE_STATE":          versionNeverDecreases,
	}},
	{"rollout", map[string]string{
		"WRITE_WITHOUT_CONDITION": finalStateStays,
		"GRANT_WITHOUT_END":       exposureStopsAfterRollback,
		"OLD_EVIDENCE":            evidenceIsCurrent,
		"EXPOSE_BEFORE_ORDERS":    exposureStopsAfterRollback,
	}},
	{"snapshot", map[string]string{
		"ACCEPT_ANY_VERSION":    singleVersion,
		"KEEP_PARTS_AT_RESTART": singleVersion,
		"TAKE_CUT_BODY":         singleVersion,
		"PARTITIONS_NOT_SENT":   singleShardMap,
		"COVERED_WHEN_SENT":     coverageIsNeverOverstated,
		"RESTART_AFTER_RUN":     runsAtMostOnce,
	}},
}

// TestModels checks that an exhaustive search of every model finds no error.
func TestModels(t *testing.T) {
	for _, model := range models {
		t.Run(model.name, func(t *testing.T) {
			output := check(t, model.name, "-O2")
			if !strings.Contains(output, noErrors) || strings.Contains(output, searchIncomplete) {
				t.Fatalf("the model has errors, or the search was not exhaustive:\n%s", output)
			}
			t.Log(summary(output))
		})
	}
}

// TestMutants checks that removing any single rule of a design violates the expected
// assertion.
func TestMutants(t *testing.T) {
	for _, model := range models {
		for mutant, assertion := range model.mutants {
			t.Run(model.name+"/"+mutant, func(t *testing.T) {
				output := check(t, model.name, "-O0", "-D"+mutant)
				if !strings.Contains(output, "assertion violated") || !strings.Contains(output, assertion) {
					t.Fatalf("want a violation of %q:\n%s", assertion, output)
				}
			})
		}
	}
}

// TestEverySwitchIsAMutant checks that the mutants listed here are exactly the macros of the
// models.
func TestEverySwitchIsAMutant(t *testing.T) {
	switches := regexp.MustCompile(`(?m)^#ifn?def ([A-Z_]+)`)
	for _, model := range models {
		source, err := os.ReadFile(model.name + ".pml")
		if err != nil {
			t.Fatal(err)
		}
		found := map[string]bool{}
		for _, match := range switches.FindAllStringSubmatch(string(source), -1) {
			found[match[1]] = true
			if _, listed := model.mutants[match[1]]; !listed {
				t.Errorf("%s: macro %s is not listed as a mutant", model.name, match[1])
			}
		}
		for mutant := range model.mutants {
			if !found[mutant] {
				t.Errorf("%s: no macro %s", model.name, mutant)
			}
		}
	}
}

// check runs Spin on a model and returns the output of the search. A missing Spin or C
// compiler is a failure. Mutants fail early, so they are compiled without optimization.
func check(t *testing.T, name, optimization string, defines ...string) string {
	t.Helper()
	directory := t.TempDir()
	source, err := filepath.Abs(name + ".pml")
	if err != nil {
		t.Fatal(err)
	}
	run(t, directory, "spin", append(defines, "-a", source)...)
	run(t, directory, "cc", "-w", optimization, "-DSAFETY", "-DCOLLAPSE", "-o", "pan", "pan.c")
	return run(t, directory, "./pan", maxDepthFlag)
}

func run(t *testing.T, directory, program string, arguments ...string) string {
	t.Helper()
	command := exec.CommandContext(t.Context(), program, arguments...)
	command.Dir = directory
	output, err := command.CombinedOutput()
	if err != nil {
		t.Fatalf("%s %s: %v\n%s", program, strings.Join(arguments, " "), err, output)
	}
	return string(output)
}

func summary(output string) string {
	lines := regexp.MustCompile(`(?m)^.*(states, stored|total actual memory|elapsed time).*$`)
	return fmt.Sprint(strings.Join(lines.FindAllString(output, -1), "; "))
}
