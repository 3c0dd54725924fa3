// Tests of changes by operators, with the store stand-in over HTTP.
#include "httplistener.h"
#include "objecttable.h"
#include "operatorclient/operatorsession.h"

#include <criterion/criterion.h>

using namespace ebonywick;
using namespace std::chrono_literals;

namespace {

// A session with a store stand-in and no hosts.
struct fixture
{
    standin::object_table objects{""};
    standin::http_listener listener{0, [this](const standin::http_request& request) {
                                        return objects.serve(request);
                                    }};
    bool is_listening = listener.open();
    object_store_client store{{"127.0.0.1", listener.port()}, 500ms};
    operator_session session{store, 200ms, [](const std::string&) {},
                             [](duration) {
                             }};
};

configuration sample_configuration(const std::string& preset)
{
    configuration out;
    const upstream_declaration upstream{
        upstream_id{"k"}, {"127.0.0.1", 22900}, failure_domain_id{"a"}};
    out.services = {
        {.name = service_name{"s"}, .shard_maps = {{1, {{shard_name{"x"}, {upstream}}}}}}};
    for (const char* name : {"ordinary", "peak"}) {
        out.presets.emplace_back();
        out.presets.back().name = preset_name{name};
    }
    out.preset_in_force = preset_name{preset};
    return out;
}

configuration stored_configuration(fixture& it)
{
    return std::get<0>(it.session.read_config()).object.config;
}

} // namespace

// Failure: a change of another operator is overwritten, or an invalid change is written.
Test(operator_session, changes_are_conditional_and_validated, .timeout = 30)
{
    fixture it;
    cr_assert(it.is_listening);
    cr_assert(it.session.switch_preset(preset_name{"peak"}).status == change_status::invalid);
    const auto first = it.session.apply(sample_configuration("ordinary"), std::nullopt);
    cr_assert(first.status == change_status::accepted);
    cr_assert(it.session.apply(sample_configuration("ordinary"), first.version).status ==
              change_status::unchanged);
    cr_assert(it.session.switch_preset(preset_name{"peak"}).status == change_status::accepted);
    const auto late = it.session.apply(sample_configuration("ordinary"), first.version);
    cr_assert(late.status == change_status::conflict);
    cr_assert(late.message.find("preset_in_force") != std::string::npos);
    cr_assert(it.session.switch_preset(preset_name{"none"}).status == change_status::invalid);
    cr_assert(stored_configuration(it) == sample_configuration("peak"));
}

// Failure: an accepted change is reported as failed because its reply was lost.
Test(operator_session, a_change_with_a_lost_reply_is_accepted, .timeout = 30)
{
    fixture it;
    standin::fault_settings faults;
    faults.lost_reply_share = 1.0;
    it.objects.set_faults(faults);
    const auto change = it.session.apply(sample_configuration("peak"), std::nullopt);
    cr_assert(change.status == change_status::accepted);
    cr_assert(stored_configuration(it) == sample_configuration("peak"));
}

// Failure: during an outage of the store, a change is reported as accepted.
Test(operator_session, an_outage_is_reported_as_unavailable, .timeout = 30)
{
    fixture it;
    it.listener.close();
    cr_assert(it.session.apply(sample_configuration("peak"), std::nullopt).status ==
              change_status::unavailable);
}
