// ebonywick-history-check: checks the recorded events of a run for violated invariants;
// docs/history-format.md describes the format.
#include "history/historychecker.h"
#include "history/recordreader.h"

#include <fmt/format.h>

#include <cstdio>
#include <exception>
#include <fstream>
#include <string>
#include <vector>

namespace {

using namespace ebonywick::history;

constexpr int exit_ok = 0;
constexpr int exit_violated = 1;
constexpr int exit_unusable = 2;

/// Appends the records of a file to `out`; returns the number of lines that cannot be
/// parsed, or 1 if the file cannot be opened.
int read_file(const std::string& path, std::vector<record>& out)
{
    std::ifstream file{path};
    if (!file) {
        fmt::print(stderr, "{}: cannot be read\n", path);
        return 1;
    }
    int error_count = 0;
    int line_number = 0;
    for (std::string line; std::getline(file, line);) {
        ++line_number;
        if (line.empty())
            continue;
        auto read = read_line(line, fmt::format("{}:{}", path, line_number));
        if (const auto* error = std::get_if<line_error>(&read)) {
            fmt::print(stderr, "{}\n", to_string(*error));
            ++error_count;
        } else {
            out.push_back(std::get<record>(std::move(read)));
        }
    }
    return error_count;
}

int run(int argc, char** argv)
{
    std::vector<record> records;
    int error_count = 0;
    for (int it = 1; it < argc; ++it)
        error_count += read_file(argv[it], records);
    if (records.empty() || error_count > 0) {
        fmt::print(stderr, "usage: ebonywick-history-check FILE...; {} records, {} problems\n",
                   records.size(), error_count);
        return exit_unusable;
    }
    const std::size_t count = records.size();
    const auto found = check_history(std::move(records));
    for (const violation& it : found) {
        fmt::print("{} violated: {}\n", it.invariant, it.message);
        for (const record& shown : it.evidence)
            fmt::print("    {} {}\n", shown.source, shown.text);
    }
    fmt::print("{} records, {} violations\n", count, found.size());
    return found.empty() ? exit_ok : exit_violated;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        return run(argc, argv);
    } catch (const std::exception& ex) {
        std::fprintf(stderr, "ebonywick-history-check: %s\n", ex.what());
        return exit_unusable;
    }
}
