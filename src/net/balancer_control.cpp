// Runs the balancer's membership on a timer, a control socket and the store.
#include "net/balancer_control.hpp"

#include "net/adopted_template.hpp"
#include "net/log.hpp"
#include "net/stored_targets.hpp"
#include "net/template_copy.hpp"

#include <daisytrail/error.hpp>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <algorithm>
#include <random>
#include <utility>

namespace daisytrail
{

namespace
{

namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds tick_interval{50};
constexpr milliseconds stop_delay{300};
constexpr milliseconds duties_interval{500};
constexpr std::size_t contacts_per_domain = 2;
// Balancers that read the contacts regularly, for the whole fleet.
constexpr std::size_t contact_readers = 2;
// Source of templates that were read from the copies in the store.
constexpr std::string_view copy_source = "copy in the store";

target_record make_record(balancer_settings const& settings, incarnation start)
{
    target_record record;
    record.name_ = settings.common_.name_;
    record.target_ = hash_name(record.name_);
    record.version_ = {start, 0};
    record.service_ = balancer_service;
    record.failure_domain_ = settings.common_.failure_domain_;
    record.tunnel_ = settings.data_;
    record.control_ = settings.common_.control_;
    record.state_ = member_state::ready;
    return record;
}

double age_in_seconds(time_point since)
{
    return std::chrono::duration<double>(steady_clock::now() - since).count();
}

} // namespace

balancer_control::balancer_control(boost::asio::io_context& io,
                                   balancer_settings const& settings,
                                   metrics& counters, control_events& events,
                                   std::unique_ptr<config_store> store)
    : link_(io, settings.common_, make_session(), counters), events_(events),
      runner_(io, link_, events, counters,
              [this](template_received_action received)
              { adopt(std::move(received)); }),
      membership_(make_record(settings, detail::make_incarnation()),
                  settings.common_.seeds_, check_adopted_template,
                  std::random_device{}()),
      store_watcher_count_(settings.store_watchers_),
      transfer_timeout_(settings.apply_within_ / 4),
      timer_(io, tick_interval, [this] { tick(); }),
      refused_list_lines_(counters.counter(
          "daisytrail_store_entries_refused_total{entry=\"target\"}")),
      tick_lateness_(counters.latency("daisytrail_control_tick_late_seconds"))
{
    counters.gauge("daisytrail_balancers",
                   [this] {
                       return static_cast<double>(
                           membership_.members().balancers().size());
                   });
    counters.gauge(
        "daisytrail_control_heard_age_seconds", [this]
        { return age_in_seconds(membership_.health().last_received_at()); });
    counters.gauge(
        "daisytrail_view_confirmed_age_seconds",
        [this]
        {
            return age_in_seconds(
                membership_.view_confirmed_as_of().value_or(started_at_));
        });
    counters.gauge("daisytrail_templates_refused",
                   [this]
                   {
                       return static_cast<double>(
                           membership_.templates().refused_templates().size());
                   });
    if (store)
    {
        membership_.use_store();
        watcher_ = std::make_unique<store_watcher>(
            io, std::move(store), settings, counters,
            [this](store_entry const& entry) { offer_template(entry); });
    }
}

void balancer_control::start()
{
    link_.start(
        [this](endpoint const& from, std::uint64_t sender,
               control_message const& message)
        {
            runner_.run(membership_.receive(steady_clock::now(), from, sender,
                                            message));
        });
    if (watcher_)
    {
        watcher_->start(
            [this](std::vector<endpoint> const& found)
            { membership_.add_contacts(found, steady_clock::now()); },
            [this](std::string const& value) { apply_target_list(value); },
            [this](std::string const& organisation, std::string const& copy)
            { offer_copy(organisation, copy); });
    }
    started_at_ = steady_clock::now();
    timer_.start();
    tick();
}

void balancer_control::set_seeds(std::vector<endpoint> const& seeds)
{
    membership_.set_seeds(seeds);
}

void balancer_control::confirm_view()
{
    runner_.run(membership_.confirm_view(steady_clock::now()));
}

void balancer_control::stop(std::function<void()> done)
{
    done_ = std::move(done);
    stop_deadline_ = steady_clock::now() + stop_delay;
    runner_.run(membership_.publish(member_state::left, steady_clock::now()));
}

json::value balancer_control::adopted() const
{
    return detail::to_json(membership_.templates(), membership_.self().name_);
}

template_version balancer_control::refused_version() const
{
    template_version newest = 0;
    for (auto const& refused : membership_.templates().refused_templates())
    {
        newest = std::max(newest, refused.version_);
    }
    return newest;
}

json::value balancer_control::members() const
{
    json::array list;
    for (auto const& [id, entry] : membership_.members().all())
    {
        auto const& record = entry.record_;
        list.push_back(
            json::object{{"name", record.name_},
                         {"balancer", record.service_ == balancer_service},
                         {"service", record.service_},
                         {"failure_domain", record.failure_domain_},
                         {"state", to_string(record.state_)},
                         {"incarnation", record.version_.incarnation_},
                         {"sequence", record.version_.sequence_},
                         {"control", to_string(record.control_)},
                         {"tunnel", to_string(record.tunnel_)},
                         {"weight", record.weight_}});
    }
    return list;
}

void balancer_control::tick()
{
    auto const now = steady_clock::now();
    record_lateness(now);
    if (done_ && now >= stop_deadline_)
    {
        timer_.stop();
        link_.stop();
        if (watcher_)
        {
            watcher_->stop();
        }
        std::exchange(done_, nullptr)();
        return;
    }
    runner_.run(membership_.tick(now));
    if (watcher_ && membership_.templates().is_overdue(transfer_timeout_, now))
    {
        watcher_->request_templates();
    }
    if (watcher_ && now >= duties_updated_at_ + duties_interval)
    {
        duties_updated_at_ = now;
        update_duties();
    }
}

// Ticks run late if the process gets too little CPU time.
void balancer_control::record_lateness(time_point now)
{
    if (next_tick_at_ != time_point{})
    {
        auto const late = std::max<duration>(now - next_tick_at_, duration{});
        tick_lateness_.add(std::chrono::duration<double>(late).count());
    }
    next_tick_at_ = now + tick_interval;
}

void balancer_control::update_duties()
{
    store_duties duties;
    duties.watches_templates_ =
        membership_.has_duty(hash_name(template_prefix), store_watcher_count_);
    duties.needs_contacts_ = membership_.needs_contacts();
    duties.checks_contacts_ =
        membership_.has_duty(hash_name(contact_prefix), contact_readers);
    if (auto const slot = membership_.contact_slot(contacts_per_domain))
    {
        duties.contact_key_ = std::string(contact_prefix) +
                              membership_.self().failure_domain_ + "/" +
                              std::to_string(*slot);
    }
    if (membership_.has_duty(hash_name(target_list_key), 1))
    {
        duties.target_list_ =
            format_stored_targets(membership_.targets_to_list());
    }
    if (membership_.has_duty(hash_name(template_copy_prefix), 1))
    {
        duties.template_copy_ = membership_.templates().find_held(
            [this](std::string const& organisation, template_version version)
            { return !watcher_->is_copied(organisation, version); });
    }
    watcher_->set_duties(std::move(duties));
}

void balancer_control::apply_target_list(std::string const& value)
{
    auto const list = parse_stored_targets(value);
    auto const& targets = list.targets_;
    refused_list_lines_ += list.refused_lines_;
    if (list.refused_lines_ > 0)
    {
        log_event(
            log_level::warning, "bad_target_list",
            {{"refused", list.refused_lines_}, {"first", list.first_refusal_}});
    }
    log_event(log_level::info, "target_list",
              {{"targets", targets.size()}, {"source", "store"}});
    membership_.add_listed_targets(targets, steady_clock::now());
    // An empty list means that no balancer has written the key yet, so that the
    // existing targets are unknown.
    if (!targets.empty())
    {
        events_.on_target_list(targets);
    }
}

void balancer_control::adopt(template_received_action received)
{
    runner_.run(membership_.adopt(std::move(received), steady_clock::now()));
}

void balancer_control::offer_template(store_entry const& entry)
{
    auto const organisation = entry.key_.substr(template_prefix.size());
    auto const now = steady_clock::now();
    if (!entry.fault_.empty())
    {
        runner_.run(membership_.refuse(organisation, entry.fault_version_,
                                       entry.fault_, now));
    }
    // An empty value means that the key was deleted; the template stays in
    // force.
    else if (!entry.value_.empty())
    {
        runner_.run(membership_.offer(organisation, version_of(entry),
                                      entry.value_, now));
    }
    auto const& templates = membership_.templates();
    if (templates.has_refused(hash_name(organisation)) &&
        !templates.find(hash_name(organisation)))
    {
        watcher_->request_copy(organisation);
    }
}

// Adopts the copy of the last good version. The refusal of the newer version
// that the store holds stays.
void balancer_control::offer_copy(std::string const& organisation,
                                  std::string const& copy)
{
    try
    {
        auto restored = parse_template_copy(copy);
        runner_.run({template_received_action{organisation, restored.version_,
                                              std::move(restored.value_),
                                              std::string(copy_source)}});
    }
    catch (error const& failure)
    {
        log_event(log_level::warning, "bad_template_copy",
                  {{"organisation", organisation}, {"detail", failure.what()}});
    }
}

} // namespace daisytrail
