// Command deployment derives variants of a deployment of the users' bench, so that
// driftrouter is also measured on deployments for which it was not tuned.
//
//	go run ./bench/deployment SITE VARIANT[,VARIANT...] > own.toml
//
// The variants are listed by -help. The result goes to standard output.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/BurntSushi/toml"
)

// table is a TOML table of a site file, untyped because variants change only a few fields.
type table = map[string]any

// variant changes a site file in place.
type variant struct {
	name  string
	help  string
	apply func(site table)
}

var variants = []variant{
	{"machines-3", "one machine per zone", func(site table) { setMachines(site, 1) }},
	{"machines-6", "two machines per zone", func(site table) { setMachines(site, 2) }},
	{"machines-20", "seven machines per zone", func(site table) { setMachines(site, 7) }},
	{"machines-60", "twenty machines per zone", func(site table) { setMachines(site, 20) }},
	{"machines-150", "fifty machines per zone", func(site table) { setMachines(site, 50) }},
	{"one-region", "all zones in one region", oneRegion},
	{"two-servers", "one server fewer for each shard", twoServers},
	{"tight", "a third of the connections per server", func(site table) { scale(site, "services", "conn_cap", 1.0/3) }},
	{"few-slots", "two slots fewer per server of a shard", fewSlots},
	{"weak", "a quarter of the CPU share", func(site table) { scale(site, "machines", "cpu_share", 1.0/4) }},
	{"small-memory", "64 MB per machine", func(site table) { set(site, "machines", "memory_mb", int64(64)) }},
	{"unsafe", "requests without scatter-gather may run at most once", unsafe},
	{"slow-store", "a tenth of the store's rates", slowStore},
	{"far", "40 ms between regions", func(site table) { site["net"].(table)["cross_region_ms"] = 40.0 }},
	{"busy", "50 % more requests", busy},
	{"strict", "the stricter accounting of held and withdrawn requests", strict},
	{"cold-rate", "cold servers handle 12 requests per second", func(site table) { set(site, "services", "cold_per_s", 12.0) }},
	{"long-pauses", "servers of shards pause for 500 ms at a time", longPauses},
	{"no-load-header", "servers do not report their load", func(site table) { set(site, "services", "load_header", false) }},
}

func main() {
	flag.Usage = usage
	flag.Parse()
	if flag.NArg() != 2 {
		usage()
		os.Exit(2)
	}
	if err := run(flag.Arg(0), strings.Split(flag.Arg(1), ",")); err != nil {
		fmt.Fprintln(os.Stderr, "deployment:", err)
		os.Exit(1)
	}
}

func usage() {
	fmt.Fprintln(os.Stderr, "usage: deployment SITE VARIANT[,VARIANT...]")
	for _, variant := range variants {
		fmt.Fprintf(os.Stderr, "  %-14s %s\n", variant.name, variant.help)
	}
}

func run(path string, names []string) error {
	site := make(table)
	if _, err := toml.DecodeFile(path, &site); err != nil {
		return err
	}
	for _, name := range names {
		index := slices.IndexFunc(variants, func(known variant) bool { return known.name == name })
		if index < 0 {
			return fmt.Errorf("no variant %q", name)
		}
		variants[index].apply(site)
	}
	site["name"] = "own-" + strings.Join(names, "-")
	// The path of the wire file is relative to the site file.
	wire, err := filepath.Abs(filepath.Join(filepath.Dir(path), site["wire"].(string)))
	if err != nil {
		return err
	}
	site["wire"] = wire
	return toml.NewEncoder(os.Stdout).Encode(site)
}

// entries returns the tables of an array of tables.
func entries(parent table, key string) []table {
	switch list := parent[key].(type) {
	case []table:
		return list
	case []any:
		tables := make([]table, len(list))
		for index, item := range list {
			tables[index] = item.(table)
		}
		return tables
	}
	return nil
}

func set(site table, list, key string, value any) {
	for _, entry := range entries(site, list) {
		entry[key] = value
	}
}

func scale(site table, list, key string, factor float64) {
	for _, entry := range entries(site, list) {
		switch value := entry[key].(type) {
		case int64:
			entry[key] = max(int64(float64(value)*factor), 1)
		case float64:
			entry[key] = value * factor
		}
	}
}

// setMachines sets the number of machines per zone; spare machines are unchanged.
func setMachines(site table, count int64) {
	set(site, "machines", "count", count)
}

func oneRegion(site table) {
	zones := entries(site, "zones")
	set(site, "zones", "region", zones[0]["region"])
}

func twoServers(site table) {
	for _, service := range shardServices(site) {
		servers := entries(service, "servers")
		service["servers"] = servers[:len(servers)-1]
	}
}

func fewSlots(site table) {
	for _, service := range shardServices(site) {
		service["slots"] = max(service["slots"].(int64)-2, 1)
	}
}

// shardServices returns the services of shards, which have the TOML key "copies".
func shardServices(site table) []table {
	var shards []table
	for _, service := range entries(site, "services") {
		if service["copies"] != nil {
			shards = append(shards, service)
		}
	}
	return shards
}

func unsafe(site table) {
	for _, class := range entries(site, "classes") {
		if class["gather"] == nil {
			class["kind"] = "unsafe"
		}
	}
}

func slowStore(site table) {
	store := site["platform"].(table)
	for _, key := range []string{"reads_per_s", "writes_per_s"} {
		store[key] = store[key].(float64) / 10
	}
}

// strict enables the accounting rules that the newest deployments may require.
func strict(site table) {
	for _, key := range []string{"even", "closes", "attends"} {
		site["bounds"].(table)[key] = true
	}
	site["timing"].(table)["truthful"] = true
}

func longPauses(site table) {
	for _, service := range shardServices(site) {
		service["pause_ms"] = int64(500)
	}
}

func busy(site table) {
	scale(site, "traffic", "per_s", 1.5)
	for _, day := range entries(site, "day") {
		scale(day, "traffic", "per_s", 1.5)
	}
}
