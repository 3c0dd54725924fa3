// Reads one YAML mapping as described by a setting table. Used by yamlreader only.
#pragma once

#include "settings/settingtable.h"
#include "settings/yamlreader.h"

#include <yaml-cpp/yaml.h>

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace ebonywick {

/// The problems of one file found so far, and the lines of its keys.
class problem_list
{
public:
    explicit problem_list(std::string file) : file_(std::move(file)) {}

    void add(int line, const std::string& key, std::string message, std::string accepted_values,
             std::string remedy);
    void record_line(const std::string& key, int line) { lines_.emplace(key, line); }
    /// Line of the key, or of the nearest enclosing key whose line is recorded, or 1.
    [[nodiscard]] int line_of(std::string key) const;
    [[nodiscard]] bool has_problem(const std::string& key) const { return keys_.contains(key); }
    [[nodiscard]] bool empty() const { return problems_.empty(); }
    /// Counts a value that is read. False once the text contains, after the expansion of
    /// aliases, more values than a declaration of 1 MB can have.
    bool count_value();
    /// All problems, sorted by line.
    [[nodiscard]] std::vector<setting_problem> sorted() const;

private:
    static constexpr std::size_t max_values = 200000;

    std::string file_;
    std::vector<setting_problem> problems_;
    // Keys of problems_.
    std::set<std::string> keys_;
    std::map<std::string, int> lines_;
    // Values counted so far.
    std::size_t values_ = 0;
};

/// Line of the node, counted from 1.
[[nodiscard]] int line_of(const YAML::Node& node);

/// The text for use in messages: cut after 64 characters, with `?` for each character that is
/// not printable ASCII.
[[nodiscard]] std::string printable(const std::string& text);

/// Parses the text as one YAML document; empty after a problem.
[[nodiscard]] std::optional<YAML::Node> parse_yaml(const std::string& text, problem_list& problems);

/// The keys of one mapping. The constructor reports unknown, duplicate and missing keys; the
/// reading functions report values that are not accepted and return the default, or an empty
/// value, for them. Keeps references to the table and the problem list.
class yaml_section
{
public:
    /// `section` selects the settings of the table that the mapping may have. `path` is the
    /// path of the mapping in the file, empty for the top level.
    yaml_section(const YAML::Node& node, std::span<const setting_descriptor> table,
                 std::string_view section, std::string path, problem_list& problems);

    [[nodiscard]] std::string name(std::string_view key);
    [[nodiscard]] endpoint address(std::string_view key);
    [[nodiscard]] std::vector<endpoint> addresses(std::string_view key);
    [[nodiscard]] std::vector<std::string> names(std::string_view key);
    [[nodiscard]] std::uint64_t integer(std::string_view key);
    [[nodiscard]] double number(std::string_view key);
    /// Index of the word in the choices of the setting.
    [[nodiscard]] std::size_t choice(std::string_view key);
    /// Entries of a list; they are not read further.
    [[nodiscard]] std::vector<YAML::Node> entries(std::string_view key);
    /// Names and values of a mapping whose keys are chosen by the operator.
    [[nodiscard]] std::vector<std::pair<std::string, YAML::Node>>
    named_entries(std::string_view key);

    /// Path of a key of this mapping in the file.
    [[nodiscard]] std::string path_of(std::string_view key) const;

private:
    [[nodiscard]] const setting_descriptor& descriptor_of(std::string_view key) const;
    // Empty if the key is missing or the file has too many values.
    [[nodiscard]] std::optional<YAML::Node> value(std::string_view key) const;
    // The default if the key is missing. Empty if the key is missing and required, or if the
    // value is not a scalar.
    [[nodiscard]] std::optional<std::string> scalar(std::string_view key);
    [[nodiscard]] std::vector<std::string> scalars(std::string_view key);
    void add_unacceptable(const setting_descriptor& setting, const std::string& message);

    std::span<const setting_descriptor> table_;
    std::string_view section_;
    std::string path_;
    problem_list& problems_;
    std::map<std::string, YAML::Node, std::less<>> values_;
};

} // namespace ebonywick
