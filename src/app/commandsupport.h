// Functions that the subcommands share: they read files and options, connect to the store, and
// convert results to exit codes.
#pragma once

#include "commandline.h"

#include "operatorclient/operatorsession.h"
#include "settings/yamlreader.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace ebonywick {

/// Message and exit code with which a subcommand ends.
struct command_failure
{
    int code = 0;
    std::string message;
};

/// The value, or the failure that ends the subcommand.
template <class T>
using command_result = std::variant<T, command_failure>;

/// Prints the message to standard error and returns the exit code.
int report(const command_failure& failure);
/// Prints the outcome of a change and returns the exit code for it.
int report(const change_report& change);

/// The content of the file.
[[nodiscard]] command_result<std::string> read_file(const std::string& path);
/// Reads and validates a declaration file.
[[nodiscard]] command_result<configuration> load_declaration(const std::string& path);
/// The problems as text with one per line.
[[nodiscard]] std::string format_problems(const std::vector<setting_problem>& problems);
/// Value of a numeric option from `min` to `max`, or `default_value` if it was not given.
[[nodiscard]] command_result<std::uint64_t> number_option(const command_arguments& arguments,
                                                          std::string_view name,
                                                          std::uint64_t default_value,
                                                          std::uint64_t min, std::uint64_t max);

/// A store client and the session that uses it.
struct operator_connection
{
    operator_connection(const endpoint& address, duration host_timeout);

    object_store_client store;
    operator_session session;
};

/// Creates the client as given by --store and --host-timeout-ms; sends nothing yet.
[[nodiscard]] command_result<std::unique_ptr<operator_connection>>
connect(const command_arguments& arguments);

} // namespace ebonywick
