package command

import (
	"context"
	"io"
	"net/url"
	"os"
	"strings"
	"unicode"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/platform"
	"github.com/boragewick/boragewick/tablecheck"
)

// errNotRead marks failures to read the version in force.
var errNotRead = errors.New("version in force not read")

// maxFindingRunes bounds the line of one finding, as names have no limit of their own.
const maxFindingRunes = 1000

func newCheckConfig() *cobra.Command {
	var path, operator, format string
	cmd := &cobra.Command{
		Use:   "check-config -f FILE",
		Short: "Check a configuration of the users' platform before it is published",
		Long: "Check a configuration of the users' platform before it is published: what makes it invalid,\n" +
			"what in it has no effect, limits that contradict each other and, with --operator, what it\n" +
			"changes. Nothing is published.\n\n" +
			"Exit codes:\n" +
			"  0  no errors\n" +
			"  1  errors: the configuration is invalid\n" +
			"  2  wrong usage\n" +
			"  3  no errors, but the version in force could not be read",
		Args: exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if format != outputText && format != outputJSON {
				return errors.Mark(errors.Newf("--format is %q; want %s or %s", format, outputText, outputJSON), errUsage)
			}
			base, err := parseControlURL(operator)
			if err != nil {
				return err
			}
			document, err := readDocument(cmd.InOrStdin(), path)
			if err != nil {
				return err
			}
			report, err := checkConfig(cmd.Context(), path, document, base)
			return errors.CombineErrors(err, report.write(cmd.OutOrStdout(), format))
		},
	}
	cmd.Flags().StringVarP(&path, "file", "f", "", "configuration as JSON, or - for standard input")
	cmd.Flags().StringVar(&operator, "operator", "", "address of a control process, to show what differs from its configuration")
	cmd.Flags().StringVar(&format, "format", outputText, outputText+" or "+outputJSON)
	mustRequire(cmd, "file")
	return cmd
}

// parseControlURL returns the address of a control process, or nil without one.
func parseControlURL(s string) (*url.URL, error) {
	if s == "" {
		return nil, nil
	}
	if !strings.Contains(s, "://") {
		s = "http://" + s
	}
	u, err := url.Parse(s)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "--operator"), errUsage)
	}
	if u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		return nil, errors.Mark(errors.Newf("--operator is %q; want http://HOST:PORT", s), errUsage)
	}
	return u, nil
}

// readDocument reads a configuration, and of one that is too long enough to tell.
func readDocument(stdin io.Reader, path string) ([]byte, error) {
	in := stdin
	if path != "-" {
		f, err := os.Open(path)
		if err != nil {
			return nil, errors.Mark(err, errUsage)
		}
		defer f.Close()
		in = f
	}
	b, err := io.ReadAll(io.LimitReader(in, platform.MaxDocumentBytes+1))
	return b, errors.Mark(err, errUsage)
}

// checkConfig returns the findings about the document. The error tells that the document is
// invalid or that the version in force can't be read from base.
func checkConfig(ctx context.Context, path string, document []byte, base *url.URL) (*checkReport, error) {
	table, errs, ignored := platform.TableDecoder{}.Examine(document)
	var findings []tablecheck.Finding
	for _, err := range errs {
		what := strings.TrimSuffix(err.Error(), ": "+boragewick.ErrBadTable.Error())
		findings = append(findings, tablecheck.Finding{Severity: tablecheck.Error, What: what})
	}
	if table != nil {
		findings = append(findings, tablecheck.Check(table)...)
	}
	for _, what := range ignored {
		findings = append(findings, tablecheck.Finding{Severity: tablecheck.Warning, What: what})
	}
	var readErr error
	if base != nil {
		readErr = errors.Newf("not read, as the document can't be compared")
		if table != nil {
			var changes []tablecheck.Finding
			changes, readErr = compareWithInForce(ctx, table, base)
			findings = append(findings, changes...)
		}
	}
	report := newCheckReport(path, findings)
	report.Compared = base != nil && readErr == nil
	if readErr != nil {
		report.InForceError = printable(readErr.Error())
	}
	if report.Counts.Errors > 0 {
		// Not marked as an error of the read, which would change the exit code.
		return report, errors.Newf("%s: not a valid configuration", path)
	}
	return report, errors.Mark(errors.Wrap(readErr, "version in force"), errNotRead)
}

// compareWithInForce reads the version in force and returns what the table changes.
func compareWithInForce(ctx context.Context, table *boragewick.RoutingTable, base *url.URL) ([]tablecheck.Finding, error) {
	client := platform.AdminClient{Base: base}
	document, err := client.Published(ctx)
	if err != nil {
		return nil, err
	}
	inForce, err := platform.TableDecoder{}.DecodeTable(document)
	if err != nil {
		return nil, err
	}
	return tablecheck.Compare(inForce, table), nil
}

// printable replaces characters that would act on a terminal and cuts long text.
func printable(s string) string {
	n := 0
	for i := range s {
		if n++; n > maxFindingRunes {
			s = s[:i] + "…"
			break
		}
	}
	return strings.Map(func(r rune) rune {
		if !unicode.IsPrint(r) {
			return unicode.ReplacementChar
		}
		return r
	}, s)
}
