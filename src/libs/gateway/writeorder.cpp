// Reads the order of writes from the content of objects.
#include "gateway/writeorder.h"

#include "peers/hostrecord.h"

namespace ebonywick {

std::optional<write_order> order_of(platform::store_collection collection,
                                    const platform::stored_item& item)
{
    switch (collection) {
    case platform::store_collection::configuration:
        if (const auto version = platform::decode_configuration_version(item.content))
            return write_order{0, *version};
        return std::nullopt;
    case platform::store_collection::upstreams:
        if (const auto report = platform::decode_report_number(item.content))
            return write_order{report->incarnation, report->number};
        return std::nullopt;
    case platform::store_collection::hosts:
        if (const auto record = decode_host_record(item.name, item.content))
            return write_order{record->incarnation, 0};
        return std::nullopt;
    case platform::store_collection::removed_domains:
    case platform::store_collection::rollouts:
        return std::nullopt;
    }
    return std::nullopt;
}

} // namespace ebonywick
