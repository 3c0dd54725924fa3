// ebonywick-history-check: checks the records of a run, see docs/history-format.md.
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

constexpr int holds = 0;
constexpr int violated = 1;
constexpr int unusable = 2;

/// Adds the records of a file; returns the number of lines that cannot be read.
int read_file(const std::string& path, std::vector<record>& out)
{
    std::ifstream file{path};
    if (!file) {
        fmt::print(stderr, "{}: cannot be read\n", path);
        return 1;
    }
    int problems = 0;
    int number = 0;
    for (std::string line; std::getline(file, line);) {
        ++number;
        if (line.empty())
            continue;
        auto read = read_line(line, fmt::format("{}:{}", path, number));
        if (const auto* problem = std::get_if<line_error>(&read)) {
            fmt::print(stderr, "{}\n", to_string(*problem));
            ++problems;
        } else {
            out.push_back(std::get<record>(std::move(read)));
        }
    }
    return problems;
}

int run(int argc, char** argv)
{
    std::vector<record> records;
    int problems = 0;
    for (int it = 1; it < argc; ++it)
        problems += read_file(argv[it], records);
    if (records.empty() || problems > 0) {
        fmt::print(stderr, "usage: ebonywick-history-check FILE...; {} records, {} problems\n",
                   records.size(), problems);
        return unusable;
    }
    const std::size_t count = records.size();
    const auto found = check_history(std::move(records));
    for (const violation& it : found) {
        fmt::print("{} violated: {}\n", it.invariant, it.message);
        for (const record& shown : it.evidence)
            fmt::print("    {} {}\n", shown.source, shown.text);
    }
    fmt::print("{} records, {} violations\n", count, found.size());
    return found.empty() ? holds : violated;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        return run(argc, argv);
    } catch (const std::exception& ex) {
        std::fprintf(stderr, "ebonywick-history-check: %s\n", ex.what());
        return unusable;
    }
}
