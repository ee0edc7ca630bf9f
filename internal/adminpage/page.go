// Package adminpage is the page on a gateway's admin port: zones, workers, groups, rules, gateways and decisions as they
// fall, in words. It is embedded and loads nothing from elsewhere.
package adminpage

import (
	"embed"
	"io/fs"
	"net/http"
)

//go:embed assets
var assets embed.FS

// securityPolicy lets the page load and ask only the gateway that served it.
const securityPolicy = "default-src 'none'; script-src 'self'; style-src 'self'; connect-src 'self'; img-src data:; " +
	"base-uri 'none'; form-action 'none'; frame-ancestors 'none'"

// Register adds the page at "/" and its files under "/page/".
func Register(mux *http.ServeMux) {
	files, err := fs.Sub(assets, "assets")
	if err != nil {
		panic(err) // the folder is embedded
	}
	serve := withSecurityHeaders(http.FileServerFS(files))
	mux.Handle("GET /{$}", serve)
	mux.Handle("GET /page/", http.StripPrefix("/page", serve))
}

// secured adds the headers that keep the page apart from other sites.
func withSecurityHeaders(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		header := writer.Header()
		header.Set("Content-Security-Policy", securityPolicy)
		header.Set("X-Content-Type-Options", "nosniff")
		header.Set("Referrer-Policy", "no-referrer")
		// A gateway of another version may answer next.
		header.Set("Cache-Control", "no-cache")
		next.ServeHTTP(writer, request)
	})
}
