package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"burdockyard/io/bypage"
)

type journalCommand struct {
	Dir  string `long:"journal" default:"journal" description:"folder of the users' bench's entries"`
	Page string `long:"page" description:"put the table into this file, between its marks"`
}

// journalEntry holds the fields of a journal entry that the table needs.
type journalEntry struct {
	ID     string   `json:"id"`
	Kind   string   `json:"cmd"`
	Reason string   `json:"why"`
	Site   string   `json:"site"`
	Score  *float64 `json:"score"`
	Edited bool     `json:"edited_meanwhile"`
	Days   []struct {
		Name  string         `json:"name"`
		Worth float64        `json:"G"`
		Rules map[string]any `json:"rules"`
	} `json:"days"`
}

// Execute implements flags.Commander.
func (c *journalCommand) Execute([]string) error {
	// The names begin with the time, so Glob returns the files sorted by time.
	files, err := filepath.Glob(filepath.Join(c.Dir, "*.json"))
	if err != nil {
		return err
	}
	bySite := map[string][]journalEntry{}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		var e journalEntry
		if err := json.Unmarshal(data, &e); err != nil {
			return fmt.Errorf("decode journal entry %s: %w", file, err)
		}
		if e.Kind == "score" && e.Score != nil && len(e.Days) > 0 {
			bySite[e.Site] = append(bySite[e.Site], e)
		}
	}
	text := ""
	for _, site := range sortedKeys(bySite) {
		text += journalTable(site, bySite[site])
	}
	if c.Page == "" {
		fmt.Print(text)
		return nil
	}
	return bypage.ReplaceSection(c.Page, "journal", text)
}

func sortedKeys(m map[string][]journalEntry) []string {
	var keys []string
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// journalTable returns a table with a row for each score and a column for each
// standard day. It has no column for a day whose name begins with fresh-, because
// the bench generated that day for a single score.
func journalTable(site string, entries []journalEntry) string {
	var days []string
	for _, d := range entries[0].Days {
		if !strings.HasPrefix(d.Name, "fresh-") {
			days = append(days, d.Name)
		}
	}
	text := fmt.Sprintf("| %s: worth | %s | mean | score | rules broken |\n|---%s|---|---|---|\n", site, strings.Join(days, " | "), strings.Repeat("|---", len(days)))
	for _, e := range entries {
		cells := make([]string, 0, len(days))
		sum, n, broken := 0.0, 0, 0
		for _, name := range days {
			cell := "—"
			for _, d := range e.Days {
				if d.Name == name {
					cell = fmt.Sprintf("%.3f", d.Worth)
					sum += d.Worth
					n++
				}
			}
			cells = append(cells, cell)
		}
		for _, d := range e.Days {
			broken += len(d.Rules)
		}
		text += fmt.Sprintf("| %s (%s) | %s | %.3f | %.3f | %d |\n", e.Reason, e.ID, strings.Join(cells, " | "), sum/float64(max(n, 1)), *e.Score, broken)
	}
	return text + "\n"
}
