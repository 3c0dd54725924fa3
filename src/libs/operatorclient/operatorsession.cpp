// Changes of the store objects on behalf of an operator.
#include "operatorclient/operatorsession.h"

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

template <class Object>
std::variant<read_object_result<Object>, error> read(object_store_client& store, const char* key)
{
    using outcome = std::variant<read_object_result<Object>, error>;
    return leaf::try_handle_all(
        [&]() -> result<outcome> {
            BOOST_LEAF_AUTO(stored, store.get(key));
            if (!stored)
                return outcome{read_object_result<Object>{}};
            BOOST_LEAF_AUTO(object, decode(stored->content, static_cast<const Object*>(nullptr)));
            return outcome{read_object_result<Object>{stored->version, std::move(object)}};
        },
        [](const error& failure) -> outcome { return failure; },
        []() -> outcome {
            return make_error(error_kind::store_unavailable, "the store could not be read");
        });
}

std::string new_change_id()
{
    std::random_device random;
    return fmt::format("{:08x}{:08x}{:08x}{:08x}", random(), random(), random(), random());
}

std::string with_remedy(const error& failure)
{
    return fmt::format("{}: {}; {}", to_string(failure.kind), failure.message, failure.remedy);
}

change_report failed(const error& failure)
{
    const auto status = failure.kind == error_kind::store_unavailable ? change_status::unavailable
                                                                      : change_status::invalid;
    return {status, 0, with_remedy(failure)};
}

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

std::variant<read_object_result<config_object>, error> operator_session::read_config()
{
    return read<config_object>(store_, config_key);
}

std::variant<read_object_result<roster_object>, error> operator_session::read_roster()
{
    return read<roster_object>(store_, roster_key);
}

template <class Object>
change_report operator_session::change(const char* key, const char* kind,
                                       read_object_result<Object> current, Object wanted,
                                       const std::vector<roster_host>& hosts)
{
    const auto id = new_change_id();
    wanted.change_ids = current.object.change_ids;
    wanted.change_ids.insert(wanted.change_ids.begin(), id);
    if (wanted.change_ids.size() > max_change_ids)
        wanted.change_ids.resize(max_change_ids);
    const std::string body = encode(wanted);

    change_sequence sequence{id, {current.version, current.object.change_ids}};
    auto latest = current;
    auto action = sequence.start();
    for (;;) {
        if (const auto* write = std::get_if<write_object>(&action)) {
            sleep_(write->after);
            action = sequence.handle(store_.put(key, body, write->expected));
        } else if (const auto* reading = std::get_if<read_object>(&action)) {
            sleep_(reading->after);
            auto outcome = read<Object>(store_, key);
            if (auto* found = std::get_if<0>(&outcome)) {
                latest = std::move(*found);
                action = sequence.handle(object_state{latest.version, latest.object.change_ids});
            } else {
                action = sequence.handle(read_failed{std::get<error>(outcome).message});
            }
        } else {
            break;
        }
    }
    if (const auto* accepted = std::get_if<change_accepted>(&action)) {
        print_(fmt::format("accepted: version {}{}", accepted->version,
                           accepted->is_replaced ? ", which includes a later change" : ""));
        // After a later change, its content is the one to spread.
        const std::string newest = accepted->is_replaced ? encode(latest.object) : body;
        for (const auto& host : push_object(hosts, kind, accepted->version, newest, host_timeout_))
            print_(fmt::format("host `{}` did not take the push; it learns the version from its "
                               "neighbours",
                               host.value()));
        return {change_status::accepted, accepted->version, ""};
    }
    if (const auto* conflict = std::get_if<change_conflict>(&action)) {
        const auto keys = changed_keys(content(current.object), content(latest.object));
        const auto failure = make_error(
            error_kind::conflict,
            fmt::format("version {} was written by another operator since version {} was read; "
                        "it changed: {}",
                        conflict->current, current.version, keys));
        return {change_status::conflict, conflict->current, with_remedy(failure)};
    }
    if (const auto* refused = std::get_if<change_refused>(&action))
        return failed(
            make_error(error_kind::store_unavailable, "nothing was written: " + refused->reason));
    return {change_status::unknown, 0,
            fmt::format("the change may have been written ({}); read the object and look for "
                        "change id {} before you apply again",
                        std::get<change_unknown>(action).reason, id)};
}

change_report operator_session::apply_to(read_object_result<config_object> current,
                                         const configuration& wanted)
{
    for (const auto& finding : check_configuration(wanted))
        return {change_status::invalid, current.version,
                fmt::format("{}: {} (accepted: {}); {}", finding.key, finding.message,
                            finding.accepted_values, finding.remedy)};
    const auto changes = differences(current.object.config, wanted);
    for (const auto& difference : changes)
        print_(to_string(difference));
    for (const auto& warning : capacity_warnings(current.object.config, wanted))
        print_("warning: " + to_string(warning));
    // Read before the write, so that the push also works if the store fails
    // right after accepting the change.
    std::vector<roster_host> hosts;
    auto fleet = read_roster();
    if (const auto* found = std::get_if<0>(&fleet))
        hosts = found->object.hosts.hosts;
    else
        print_("warning: the roster could not be read; the change will not be pushed to hosts");
    if (changes.empty() && current.version != 0) {
        // Repeats the push, for an operator whose earlier call was interrupted.
        (void)push_object(hosts, "config", current.version, encode(current.object), host_timeout_);
        return {change_status::unchanged, current.version, ""};
    }
    return change<config_object>(config_key, "config", std::move(current), {wanted, {}}, hosts);
}

change_report operator_session::apply(const configuration& wanted,
                                      std::optional<object_version> base)
{
    auto outcome = read_config();
    if (const auto* failure = std::get_if<error>(&outcome))
        return failed(*failure);
    auto& current = std::get<0>(outcome);
    if (base && *base != current.version) {
        const auto failure = make_error(
            error_kind::conflict,
            fmt::format("the declaration was derived from version {}, the stored version is {}; "
                        "they differ in: {}",
                        *base, current.version, changed_keys(current.object.config, wanted)));
        return {change_status::conflict, current.version, with_remedy(failure)};
    }
    return apply_to(std::move(current), wanted);
}

change_report operator_session::switch_preset(const preset_name& preset)
{
    auto outcome = read_config();
    if (const auto* failure = std::get_if<error>(&outcome))
        return failed(*failure);
    auto& current = std::get<0>(outcome);
    if (current.version == 0)
        return failed(make_error(error_kind::not_found, "no declaration was applied yet"));
    auto wanted = current.object.config;
    wanted.preset_in_force = preset;
    return apply_to(std::move(current), wanted);
}

change_report operator_session::replace_witnesses()
{
    auto outcome = read_roster();
    if (const auto* failure = std::get_if<error>(&outcome))
        return failed(*failure);
    auto& current = std::get<0>(outcome);
    const auto hosts = current.object.hosts.hosts;
    auto wanted = current.object;
    wanted.hosts.witnesses = choose_witnesses(ask_hosts(hosts, host_timeout_));
    // Named former witnesses would still have to agree, and they are lost.
    wanted.hosts.previous_witnesses.clear();
    if (wanted.hosts.witnesses.empty())
        return {change_status::invalid, current.version,
                "no serving or joining host of the roster answers /v1/status; start hosts first"};
    for (const auto& difference : differences(current.object.hosts, wanted.hosts))
        print_(to_string(difference));
    if (wanted.hosts == current.object.hosts)
        return {change_status::unchanged, current.version, ""};
    return change<roster_object>(roster_key, "roster", std::move(current), std::move(wanted),
                                 hosts);
}

} // namespace ebonywick
