// Guards changes by operators against the store stand-in over HTTP.
#include "httplistener.h"
#include "objecttable.h"
#include "operatorclient/operatorsession.h"

#include <criterion/criterion.h>

using namespace ebonywick;
using namespace std::chrono_literals;

namespace {

struct fixture
{
    standin::object_table objects{""};
    standin::http_listener listener{0, [this](const standin::http_request& request) {
                                        return objects.serve(request);
                                    }};
    bool is_open = listener.open();
    object_store_client store{{"127.0.0.1", listener.port()}, 500ms};
    operator_session session{store, 200ms, [](const std::string&) {},
                             [](duration) {
                             }};
};

configuration sample(const std::string& preset)
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

configuration stored(fixture& it)
{
    return std::get<0>(it.session.read_config()).object.config;
}

} // namespace

// Failure: a change of another operator is overwritten, or an invalid one is
// written.
Test(operator_session, changes_are_conditional_and_validated, .timeout = 30)
{
    fixture it;
    cr_assert(it.is_open);
    cr_assert(it.session.switch_preset(preset_name{"peak"}).status == change_status::invalid);
    const auto first = it.session.apply(sample("ordinary"), std::nullopt);
    cr_assert(first.status == change_status::accepted);
    cr_assert(it.session.apply(sample("ordinary"), first.version).status ==
              change_status::unchanged);
    cr_assert(it.session.switch_preset(preset_name{"peak"}).status == change_status::accepted);
    const auto late = it.session.apply(sample("ordinary"), first.version);
    cr_assert(late.status == change_status::conflict);
    cr_assert(late.message.find("preset_in_force") != std::string::npos);
    cr_assert(it.session.switch_preset(preset_name{"none"}).status == change_status::invalid);
    cr_assert(stored(it) == sample("peak"));
}

// Failure: an accepted change is reported as failed because its reply was lost.
Test(operator_session, a_lost_reply_is_recognised, .timeout = 30)
{
    fixture it;
    standin::fault_settings faults;
    faults.lost_reply_share = 1.0;
    it.objects.set_faults(faults);
    const auto change = it.session.apply(sample("peak"), std::nullopt);
    cr_assert(change.status == change_status::accepted);
    cr_assert(stored(it) == sample("peak"));
}

// Failure: an operator is told that a change was accepted during an outage.
Test(operator_session, an_outage_is_reported, .timeout = 30)
{
    fixture it;
    it.listener.close();
    cr_assert(it.session.apply(sample("peak"), std::nullopt).status == change_status::unavailable);
}
