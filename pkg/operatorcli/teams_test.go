package operatorcli

import (
	"bytes"
	"strings"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	api "github.com/rushramp/rushramp/pkg/operatorsapi"
	"github.com/rushramp/rushramp/pkg/teams"
)

// runKeyCommand runs a sub-command of key with a standard input and returns its output.
func runKeyCommand(t *testing.T, in string, args ...string) (string, error) {
	var out bytes.Buffer
	c := keyCommand()
	c.SetArgs(args)
	c.SetIn(strings.NewReader(in))
	c.SetOut(&out)
	c.SilenceUsage, c.SilenceErrors = true, true
	err := c.ExecuteContext(t.Context())
	return out.String(), err
}

func TestKeyNewPrintsTheDigest(t *testing.T) {
	output, err := runKeyCommand(t, "", "new")
	must.NoError(t, err)
	fields := strings.Fields(output)
	must.Len(t, 4, fields)
	test.Eq(t, teams.DigestOf(fields[1]).String(), fields[3])
	digest, err := runKeyCommand(t, fields[1]+"\n", "digest")
	must.NoError(t, err)
	test.Eq(t, fields[3]+"\n", digest)
	_, err = runKeyCommand(t, "", "digest")
	test.Error(t, err)
	otherOutput, err := runKeyCommand(t, "", "new")
	must.NoError(t, err)
	test.NotEq(t, output, otherOutput)
}

func TestPrintTeams(t *testing.T) {
	var out bytes.Buffer
	must.NoError(t, printTeams(&out, &api.TeamsResponse{Version: 7, ProofAgeMs: -1, Granted: 3, Teams: []*api.Team{
		{Name: "red", Priority: 1, Keys: 2, Rate: 20, Burst: 10, Counter: "vm-1", Part: 0.5, Tokens: 4},
	}}))
	test.StrContains(t, out.String(), "placement version 7, last confirmed: none yet")
	test.StrContains(t, out.String(), "red   1         2     20    10     vm-1        0.50        4.0")
}
