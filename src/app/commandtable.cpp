// The table of subcommands.
#include "commandline.h"

namespace ebonywick {

const std::vector<command>& commands()
{
    static const command_option store{"store", "IP:PORT", "address of the object store", true};
    static const command_option roster_store{
        "store", "IP:PORT", "address of the object store, to read the roster", false};
    static const command_option hosts{"hosts", "IP:PORT,...",
                                      "HTTP addresses of hosts, used instead of the roster", false};
    static const command_option host_timeout{
        "host-timeout-ms", "N", "timeout of each call to a host in ms, 1 to 60000 (default 1000)",
        false};
    static const std::vector<command> table = {
        {"serve",
         "",
         "run a node until SIGTERM",
         {{"settings", "FILE", "node settings", true},
          {"check-settings", "", "check the settings and exit", false}},
         serve_command},
        {"gateway",
         "",
         "run an entry host on the platform until SIGTERM",
         {{"settings", "FILE", "gateway settings", true},
          {"check-settings", "", "check the settings and exit", false}},
         gateway_command},
        {"validate", "FILE", "check a declaration", {}, validate_command},
        {"show", "", "print the stored declaration as YAML", {store}, show_command},
        {"diff",
         "FILE",
         "print the changes that applying a declaration would make",
         {store},
         diff_command},
        {"apply",
         "FILE",
         "replace the stored declaration and push it to the hosts",
         {store,
          {"base", "VERSION", "refuse the change unless the stored version is VERSION", false},
          host_timeout},
         apply_command},
        {"preset", "NAME", "put a declared preset in force", {store, host_timeout}, preset_command},
        {"status",
         "",
         "print a table of hosts",
         {roster_store, hosts, host_timeout},
         status_command},
        {"wait",
         "",
         "wait until all hosts that answer have a configuration version",
         {roster_store,
          hosts,
          host_timeout,
          {"version", "N", "the version to wait for", true},
          {"timeout-ms", "N", "maximum time to wait in ms, 0 to 3600000 (default 10000)", false}},
         wait_command},
        {"witnesses",
         "",
         "print the witnesses, or appoint new ones in an emergency",
         {store,
          {"replace", "", "appoint new witnesses from the hosts that answer", false},
          host_timeout},
         witnesses_command},
        {"reference",
         "settings|gateway|declaration",
         "print a reference page in Markdown",
         {},
         reference_command},
        {"completion", "bash", "print a completion script", {}, completion_command},
    };
    return table;
}

} // namespace ebonywick
