// Reads and changes the store objects on behalf of an operator.
#include "operatorclient/operatorsession.h"

#include "control/changehistory.h"
#include "control/configdiff.h"
#include "operatorclient/changesequence.h"
#include "settings/capacitywarnings.h"
#include "settings/configurationcheck.h"

#include <boost/leaf/handle_errors.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <random>
#include <utility>

namespace ebonywick {

namespace {

// Reads of a store that has lost changes, at intervals of change_sequence::retry_delay, while the
// hosts write them again. They notice a restoration within a second if it broke their connections.
constexpr int max_waits_for_hosts = 15;

result<config_object> decode(const std::string& text, const config_object*)
{
    return decode_config(text);
}

result<roster_object> decode(const std::string& text, const roster_object*)
{
    return decode_roster(text);
}

const configuration& content(const config_object& object)
{
    return object.config;
}
const roster& content(const roster_object& object)
{
    return object.hosts;
}

// Reads and decodes the object; version 0 if it does not exist.
template <class Object>
std::variant<versioned_object<Object>, error> read(object_store_client& store, const char* key)
{
    using outcome = std::variant<versioned_object<Object>, error>;
    return leaf::try_handle_all(
        [&]() -> result<outcome> {
            BOOST_LEAF_AUTO(stored, store.get(key));
            if (!stored)
                return outcome{versioned_object<Object>{}};
            BOOST_LEAF_AUTO(object, decode(stored->content, static_cast<const Object*>(nullptr)));
            const auto version = host_version(stored->version, object.change_ids);
            return outcome{versioned_object<Object>{version, std::move(object)}};
        },
        [](const error& failure) -> outcome { return failure; },
        []() -> outcome {
            return make_error(error_kind::store_unavailable, "the store could not be read");
        });
}

std::string make_unique_text()
{
    std::random_device random;
    return fmt::format("{:08x}{:08x}{:08x}{:08x}", random(), random(), random(), random());
}

std::string describe(const error& failure)
{
    return fmt::format("{}: {}; {}", to_string(failure.kind), failure.message, failure.remedy);
}

// The report of a change that was not written because of `failure`.
change_report failure_report(const error& failure)
{
    const auto status = failure.kind == error_kind::store_unavailable ? change_status::unavailable
                                                                      : change_status::invalid;
    return {status, 0, describe(failure)};
}

// Keys that differ, for messages.
template <class Content>
std::string changed_keys(const Content& before, const Content& after)
{
    std::string out;
    for (const auto& difference : differences(before, after))
        out += (out.empty() ? "" : ", ") + difference.key;
    return out.empty() ? "no key differs" : out;
}

} // namespace

operator_session::operator_session(object_store_client& store, duration host_timeout,
                                   std::function<void(const std::string&)> print,
                                   std::function<void(duration)> sleep)
    : store_(store), host_timeout_(host_timeout), print_(std::move(print)), sleep_(std::move(sleep))
{
}

std::variant<versioned_object<config_object>, error> operator_session::read_config()
{
    return read<config_object>(store_, config_key);
}

std::variant<versioned_object<roster_object>, error> operator_session::read_roster()
{
    return read<roster_object>(store_, roster_key);
}

template <class Object>
change_report operator_session::change(const char* key, const char* kind,
                                       versioned_object<Object> current, Object wanted,
                                       const std::vector<roster_host>& hosts)
{
    const object_version offset = offset_of(current.object.change_ids);
    const auto id = make_change_id(make_unique_text(), offset);
    wanted.change_ids = add_change_id(current.object.change_ids, id);
    const std::string body = encode(wanted);

    change_sequence sequence{id, {current.version - offset, current.object.change_ids}};
    auto latest = current;
    auto action = sequence.start();
    for (;;) {
        if (const auto* write = std::get_if<write_object>(&action)) {
            sleep_(write->delay);
            action = sequence.handle(store_.put(key, body, write->expected));
        } else if (const auto* reading = std::get_if<read_object>(&action)) {
            sleep_(reading->delay);
            auto outcome = read<Object>(store_, key);
            if (auto* found = std::get_if<0>(&outcome)) {
                latest = std::move(*found);
                const auto& ids = latest.object.change_ids;
                action = sequence.handle(object_state{latest.version - offset_of(ids), ids});
            } else {
                action = sequence.handle(read_failed{std::get<error>(outcome).message});
            }
        } else {
            break;
        }
    }
    if (const auto* accepted = std::get_if<change_accepted>(&action)) {
        // If a later change superseded this one, the version belongs to its content.
        const std::string newest = accepted->is_superseded ? encode(latest.object) : body;
        const auto version = accepted->is_superseded ? latest.version : accepted->version + offset;
        print_(fmt::format("accepted: version {}{}", version,
                           accepted->is_superseded ? ", which includes a later change" : ""));
        for (const auto& host : push_object(hosts, kind, version, newest, host_timeout_))
            print_(fmt::format("host `{}` did not accept the push; it receives the version from "
                               "its neighbours",
                               host.value()));
        return {change_status::accepted, version, ""};
    }
    if (const auto* conflict = std::get_if<change_conflict>(&action)) {
        const auto other = conflict->current + offset_of(latest.object.change_ids);
        const auto keys = changed_keys(content(current.object), content(latest.object));
        const auto failure = make_error(
            error_kind::conflict,
            fmt::format("version {} was written by another operator since version {} was read; "
                        "it changed: {}",
                        other, current.version, keys));
        return {change_status::conflict, other, describe(failure)};
    }
    if (const auto* refused = std::get_if<change_refused>(&action))
        return failure_report(
            make_error(error_kind::store_unavailable, "nothing was written: " + refused->reason));
    return {change_status::unknown, 0,
            fmt::format("the change may have been written ({}); read the object and look for "
                        "change id {} before applying again",
                        std::get<change_unknown>(action).reason, id)};
}

change_report operator_session::apply_to(versioned_object<config_object> current,
                                         const configuration& wanted)
{
    for (const auto& problem : check_configuration(wanted))
        return {change_status::invalid, current.version,
                fmt::format("{}: {} (accepted: {}); {}", problem.key, problem.message,
                            problem.accepted_values, problem.remedy)};
    const auto changes = differences(current.object.config, wanted);
    for (const auto& difference : changes)
        print_(to_string(difference));
    for (const auto& warning : capacity_warnings(current.object.config, wanted))
        print_("warning: " + to_string(warning));
    // Read before the write, so that the change can be pushed even if the store fails right after
    // accepting it.
    std::vector<roster_host> hosts;
    auto stored_roster = read_roster();
    if (const auto* found = std::get_if<0>(&stored_roster))
        hosts = found->object.hosts.hosts;
    else
        print_("warning: the roster could not be read; the change will not be pushed to hosts");
    if (changes.empty() && current.version != 0) {
        // Pushes again, in case an earlier run was interrupted between the write and the push.
        (void)push_object(hosts, "config", current.version, encode(current.object), host_timeout_);
        return {change_status::unchanged, current.version, ""};
    }
    return change<config_object>(config_key, "config", std::move(current), {wanted, {}}, hosts);
}

std::variant<versioned_object<config_object>, error> operator_session::read_config_to_change()
{
    auto outcome = read_config();
    auto stored_roster = read_roster();
    const auto* hosts = std::get_if<0>(&stored_roster);
    if (hosts == nullptr)
        return outcome;
    const roster& stored = hosts->object.hosts;
    std::vector<roster_host> witnesses;
    for (const host_id& it : stored.witnesses) {
        if (const roster_host* host = stored.find(it))
            witnesses.push_back(*host);
    }
    const object_version newest = newest_config_version(poll_hosts(witnesses, host_timeout_));
    for (int it = 0; it < max_waits_for_hosts; ++it) {
        const auto* found = std::get_if<0>(&outcome);
        if (found == nullptr || found->version >= newest)
            return outcome;
        sleep_(change_sequence::retry_delay);
        outcome = read_config();
    }
    const auto* found = std::get_if<0>(&outcome);
    if (found == nullptr || found->version >= newest)
        return outcome;
    return make_error(error_kind::store_unavailable,
                      fmt::format("the store has version {}, hosts know version {}: it was "
                                  "restored from an older copy and the hosts have not written "
                                  "the newer one yet",
                                  found->version, newest));
}

change_report operator_session::apply(const configuration& wanted,
                                      std::optional<object_version> base)
{
    auto outcome = read_config_to_change();
    if (const auto* failure = std::get_if<error>(&outcome))
        return failure_report(*failure);
    auto& current = std::get<0>(outcome);
    if (base && *base != current.version) {
        const auto failure = make_error(
            error_kind::conflict,
            fmt::format("the declaration was derived from version {}, the stored version is {}; "
                        "they differ in: {}",
                        *base, current.version, changed_keys(current.object.config, wanted)));
        return {change_status::conflict, current.version, describe(failure)};
    }
    return apply_to(std::move(current), wanted);
}

change_report operator_session::switch_preset(const preset_name& preset)
{
    auto outcome = read_config_to_change();
    if (const auto* failure = std::get_if<error>(&outcome))
        return failure_report(*failure);
    auto& current = std::get<0>(outcome);
    if (current.version == 0)
        return failure_report(
            make_error(error_kind::not_found, "no declaration has been applied yet"));
    auto wanted = current.object.config;
    wanted.preset_in_force = preset;
    return apply_to(std::move(current), wanted);
}

change_report operator_session::replace_witnesses()
{
    auto outcome = read_roster();
    if (const auto* failure = std::get_if<error>(&outcome))
        return failure_report(*failure);
    auto& current = std::get<0>(outcome);
    const auto hosts = current.object.hosts.hosts;
    auto wanted = current.object;
    wanted.hosts.witnesses = choose_witnesses(poll_hosts(hosts, host_timeout_));
    // Listed as previous witnesses, the lost ones would have to agree to the change.
    wanted.hosts.previous_witnesses.clear();
    if (wanted.hosts.witnesses.empty())
        return {
            change_status::invalid, current.version,
            "no serving or joining host of the roster answers GET /v1/status; start hosts first"};
    for (const auto& difference : differences(current.object.hosts, wanted.hosts))
        print_(to_string(difference));
    if (wanted.hosts == current.object.hosts)
        return {change_status::unchanged, current.version, ""};
    return change<roster_object>(roster_key, "roster", std::move(current), std::move(wanted),
                                 hosts);
}

} // namespace ebonywick
