// The product's strategy to choose targets and two baselines.
#include "support/choice_strategies.hpp"

#include <unordered_map>

namespace daisytrail
{

namespace
{

service_table empty_table()
{
    return service_table::from_members({});
}

class ranked_strategy : public choice_strategy
{
public:
    explicit ranked_strategy(std::size_t balancers)
        : tables_(balancers, empty_table())
    {
    }

    std::string_view name() const override
    {
        return "rendezvous with trail";
    }

    void update(std::size_t balancer,
                std::vector<table_member> const& members) override
    {
        tables_[balancer] = service_table::from_members(members);
    }

    std::vector<target_id> reachable_targets(std::size_t balancer,
                                             std::uint64_t flow) override
    {
        std::vector<target_id> targets;
        auto const candidates = tables_[balancer].pick(flow);
        for (auto const& candidate : candidates.view())
        {
            targets.push_back(candidate.target_);
        }
        return targets;
    }

private:
    std::vector<service_table> tables_;
};

class modulo_strategy : public choice_strategy
{
public:
    explicit modulo_strategy(std::size_t balancers) : members_(balancers) {}

    std::string_view name() const override
    {
        return "modulo hashing";
    }

    void update(std::size_t balancer,
                std::vector<table_member> const& members) override
    {
        members_[balancer] = members;
    }

    std::vector<target_id> reachable_targets(std::size_t balancer,
                                             std::uint64_t flow) override
    {
        auto const& members = members_[balancer];
        return {members[flow % members.size()].candidate_.target_};
    }

private:
    std::vector<std::vector<table_member>> members_;
};

class flow_table_strategy : public choice_strategy
{
public:
    explicit flow_table_strategy(std::size_t balancers)
        : tables_(balancers, empty_table()), flows_(balancers)
    {
    }

    std::string_view name() const override
    {
        return "table per balancer";
    }

    void update(std::size_t balancer,
                std::vector<table_member> const& members) override
    {
        tables_[balancer] = service_table::from_members(members);
    }

    std::vector<target_id> reachable_targets(std::size_t balancer,
                                             std::uint64_t flow) override
    {
        auto const [entry, inserted] = flows_[balancer].try_emplace(flow, 0);
        if (inserted)
        {
            entry->second = tables_[balancer].pick(flow).candidates_[0].target_;
        }
        return {entry->second};
    }

private:
    std::vector<service_table> tables_;
    std::vector<std::unordered_map<std::uint64_t, target_id>> flows_;
};

} // namespace

std::unique_ptr<choice_strategy> make_ranked_strategy(std::size_t balancers)
{
    return std::make_unique<ranked_strategy>(balancers);
}

std::unique_ptr<choice_strategy> make_modulo_strategy(std::size_t balancers)
{
    return std::make_unique<modulo_strategy>(balancers);
}

std::unique_ptr<choice_strategy> make_flow_table_strategy(std::size_t balancers)
{
    return std::make_unique<flow_table_strategy>(balancers);
}

} // namespace daisytrail
