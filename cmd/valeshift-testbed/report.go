package main

import (
	"fmt"
	"os"

	"valeshift/internal/testbed/report"
)

// reportFlag is the flag that names where a report is written.
type reportFlag struct {
	Report string `name:"report" help:"Write the report to this path, as NAME.html and NAME.json." placeholder:"NAME" type:"path"`
}

// write writes the report as HTML and JSON if a path was given.
func (f reportFlag) write(r *report.Report) error {
	if f.Report == "" {
		return nil
	}
	page, err := r.HTML()
	if err != nil {
		return err
	}
	text, err := r.JSON()
	if err != nil {
		return err
	}
	if err := os.WriteFile(f.Report+".html", page, 0o644); err != nil {
		return err
	}
	fmt.Printf("report: %s.html\n", f.Report)
	return os.WriteFile(f.Report+".json", text, 0o644)
}

// printRun prints the result of a run as one line that ends with a remark.
func printRun(r *report.Run, remark string) {
	fmt.Printf("%-12s %s: service %.4f, worst second %.3f, answers %v, rules broken %v %s\n", r.Variant, r.Mode,
		r.ServedShare, r.WorstSecond, r.Answers, r.ViolationCounts, remark)
}

// checkRules prints the violations of a run, and returns an error if there are any.
func checkRules(r *report.Run) error {
	if len(r.ViolationCounts) == 0 {
		return nil
	}
	for _, v := range r.Violations {
		fmt.Println("  ", v)
	}
	return fmt.Errorf("%s broke a rule", r.Variant)
}
