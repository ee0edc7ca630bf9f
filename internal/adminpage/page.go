// Package adminpage serves a web page on the admin port of a gateway, which shows zones, workers, groups, rules,
// gateways and a live list of decisions. It is embedded and loads nothing from other hosts.
package adminpage

import (
	"embed"
	"io/fs"
	"net/http"
)

//go:embed assets
var assets embed.FS

// securityPolicy restricts the page to the gateway that served it.
const securityPolicy = "default-src 'none'; script-src 'self'; style-src 'self'; connect-src 'self'; img-src data:; " +
	"base-uri 'none'; form-action 'none'; frame-ancestors 'none'"

// Register adds the page at "/" and its files under "/page/".
func Register(mux *http.ServeMux) {
	files, err := fs.Sub(assets, "assets")
	if err != nil {
		panic(err) // the directory is embedded
	}
	serve := withSecurityHeaders(http.FileServerFS(files))
	mux.Handle("GET /{$}", serve)
	mux.Handle("GET /page/", http.StripPrefix("/page", serve))
}

// withSecurityHeaders adds headers that isolate the page from other sites.
func withSecurityHeaders(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		header := writer.Header()
		header.Set("Content-Security-Policy", securityPolicy)
		header.Set("X-Content-Type-Options", "nosniff")
		header.Set("Referrer-Policy", "no-referrer")
		// Another version of the gateway may serve the next request.
		header.Set("Cache-Control", "no-cache")
		next.ServeHTTP(writer, request)
	})
}
