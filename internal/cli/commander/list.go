package commander

import (
	"net/url"
	"strconv"

	"github.com/alecthomas/kingpin/v2"

	"github.com/peridotstage/peridotstage/internal/front/administrator"
)

// addList adds a command that prints one page of a list.
func addList[T any](a *app, cmd *kingpin.CmdClause, path string, header []string, row func(T) []any) {
	page := newPageFlags(cmd)
	cmd.Action(func(*kingpin.ParseContext) error {
		q := url.Values{"limit": {strconv.Itoa(*page.limit)}}
		if *page.after != "" {
			q.Set("after", *page.after)
		}
		return getAndPrint(a.api, path+"?"+q.Encode(), func(t *table, p administrator.Page[T]) {
			t.printHeader(header...)
			for _, v := range p.Items {
				t.printRow(row(v)...)
			}
			if p.Next != "" {
				t.printLine("more: --after %s", p.Next)
			}
		})
	})
}
