package workload

import (
	"reflect"
	"testing"
	"time"
)

func TestGenerate(t *testing.T) {
	for _, name := range Deployments() {
		for _, scenario := range Scenarios {
			t.Run(name+" "+scenario, func(t *testing.T) {
				d, err := DeploymentByName(name)
				if err != nil {
					t.Fatal(err)
				}
				a, err := Generate(d, scenario, 1)
				if err != nil {
					t.Fatal(err)
				}
				if b, _ := Generate(d, scenario, 1); len(a) != len(b) || !reflect.DeepEqual(a[:100], b[:100]) {
					t.Error("the same seed gave different requests")
				}
				if c, _ := Generate(d, scenario, 2); reflect.DeepEqual(a[:100], c[:100]) {
					t.Error("another seed gave the same requests")
				}
				for i, r := range a {
					if i > 0 && r.At.Before(a[i-1].At) {
						t.Fatalf("request %d is out of order", i)
					}
					if len(r.Blocks) < d.workspaceBlocks || r.Blocks[0] == 0 {
						t.Fatalf("request %d has blocks %v", i, r.Blocks)
					}
				}
			})
		}
	}
}

func TestTenfoldLoadComesFromOneWorkspace(t *testing.T) {
	d, _ := DeploymentByName("omuramba")
	count := func(scenario string) (last, others int) {
		requests, err := Generate(d, scenario, 1)
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range requests {
			at := r.At.Sub(Start)
			switch {
			case at < tenfoldStart*time.Second || at > tenfoldEnd*time.Second:
			case r.Workspace == "workspace_5":
				last++
			default:
				others++
			}
		}
		return last, others
	}
	steadyLast, steadyOthers := count(Steady)
	tenfoldLast, tenfoldOthers := count(TenfoldLoad)
	if tenfoldLast < 7*steadyLast || tenfoldLast > 13*steadyLast {
		t.Errorf("last workspace: %d requests under tenfold load, %d under steady load", tenfoldLast, steadyLast)
	}
	if tenfoldOthers > steadyOthers*11/10 || tenfoldOthers < steadyOthers*9/10 {
		t.Errorf("other workspaces: %d requests under tenfold load, %d under steady load", tenfoldOthers, steadyOthers)
	}
}
