package byroutes_test

import (
	"testing"

	"burdockyard"
	"burdockyard/core/byroutes"
)

func TestMatchSelectsLongestPrefix(t *testing.T) {
	table := byroutes.NewTable(&burdockyard.RouteConfig{Routes: []*burdockyard.Route{
		{Name: "all", Host: "a.example", Prefix: "/"},
		{Name: "deep", Host: "a.example", Prefix: "/x/y/"},
		{Name: "x", Host: "a.example", Prefix: "/x/"},
		{Name: "b", Host: "b.example", Prefix: "/x/"},
	}})
	tests := []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "deep"},
		{"a.example", "/x/yy", "x"},
		{"A.Example:8080", "/x", "all"},
		{"b.example", "/x/1", "b"},
		{"b.example", "/y", ""},
		{"c.example", "/x/", ""},
	}
	for _, tt := range tests {
		got := ""
		if r := table.Match(tt.host, tt.path); r != nil {
			got = r.Name
		}
		if got != tt.want {
			t.Errorf("%s%s matches route %q, want %q", tt.host, tt.path, got, tt.want)
		}
	}
}

func TestOlderConfigIsNotActivated(t *testing.T) {
	var active byroutes.ActiveTable
	for _, step := range []struct {
		version   uint64
		activated bool
		active    uint64
	}{{7, true, 7}, {5, false, 7}, {7, false, 7}, {12, true, 12}, {11, false, 12}} {
		if got := active.Update(&burdockyard.RouteConfig{Version: step.version}); got != step.activated {
			t.Errorf("version %d activated: %t, want the opposite", step.version, got)
		}
		if got := active.Current().Version(); got != step.active {
			t.Errorf("after Update with version %d, version %d is active, want %d", step.version, got, step.active)
		}
	}
}

func TestPickServiceFollowsWeights(t *testing.T) {
	r := &burdockyard.Route{Shares: []burdockyard.Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	for draw, want := range map[float64]string{0: "a", 0.89: "a", 0.9: "b", 0.99: "b"} {
		if got := byroutes.PickService(r, draw); got != want {
			t.Errorf("draw %v selects %q, want %q", draw, got, want)
		}
	}
}
