// Functions on the entries of the configuration store.
#include <daisytrail/store.hpp>

#include <algorithm>
#include <set>

namespace daisytrail
{

void remove_replaced_entries(std::vector<store_entry>& entries)
{
    std::set<std::string> later_keys;
    std::vector<store_entry> kept;
    for (auto at = entries.rbegin(); at != entries.rend(); ++at)
    {
        if (later_keys.insert(at->key_).second)
        {
            kept.push_back(std::move(*at));
        }
    }
    std::ranges::reverse(kept);
    entries = std::move(kept);
}

} // namespace daisytrail
