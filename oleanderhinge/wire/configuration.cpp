#include "oleanderhinge/wire/configuration.hpp"

#include <type_traits>

namespace oleanderhinge::wire
{

namespace
{

template <class Map, class Key>
base::revision modified_of(const Map& objects, const Key& key)
{
    const auto found = objects.find(key);
    return found == objects.end() ? base::revision{} : found->second.modified;
}

struct applier {
    configuration& config;
    base::revision at;

    void operator()(const put_route& item) const
    {
        auto& object = this->config.routes[item.value.id] = item.value;
        object.modified = this->at;
    }
    void operator()(const remove_route& item) const
    {
        this->config.routes.erase(item.id);
    }
    void operator()(const put_customer& item) const
    {
        auto& object = this->config.customers[item.value.id] = item.value;
        object.modified = this->at;
    }
    void operator()(const remove_customer& item) const
    {
        this->config.customers.erase(item.id);
    }
    void operator()(const put_order& item) const
    {
        auto& object = this->config.orders[item.value.server] = item.value;
        object.modified = this->at;
        // The revision grows with each confirmed plan, so it orders all
        // commands to one server, also across remove and put.
        object.number = base::fencing_number{this->at.value()};
    }
    void operator()(const remove_order& item) const
    {
        this->config.orders.erase(item.server);
    }
    void operator()(const put_shares& item) const
    {
        this->config.shares = item.value;
        this->config.shares.modified = this->at;
    }
    void operator()(const put_forwarding& item) const
    {
        this->config.forwarding = item.value;
        this->config.forwarding.modified = this->at;
    }
    void operator()(const patch_forwarding& item) const
    {
        apply_patch(this->config.forwarding, item.value);
        this->config.forwarding.modified = this->at;
    }
};

struct namer {
    std::string operator()(const put_route& item) const
    {
        return "route " + item.value.id.value();
    }
    std::string operator()(const remove_route& item) const
    {
        return "route " + item.id.value();
    }
    std::string operator()(const put_customer& item) const
    {
        return "customer " + item.value.id.value();
    }
    std::string operator()(const remove_customer& item) const
    {
        return "customer " + item.id.value();
    }
    std::string operator()(const put_order& item) const
    {
        return "server " + item.value.server.value();
    }
    std::string operator()(const remove_order& item) const
    {
        return "server " + item.server.value();
    }
    std::string operator()(const put_shares&) const { return "rank shares"; }
    std::string operator()(const put_forwarding&) const
    {
        return "forwarding table";
    }
    std::string operator()(const patch_forwarding&) const
    {
        return "forwarding table";
    }
};

struct revision_finder {
    const configuration& config;

    base::revision operator()(const put_route& item) const
    {
        return modified_of(this->config.routes, item.value.id);
    }
    base::revision operator()(const remove_route& item) const
    {
        return modified_of(this->config.routes, item.id);
    }
    base::revision operator()(const put_customer& item) const
    {
        return modified_of(this->config.customers, item.value.id);
    }
    base::revision operator()(const remove_customer& item) const
    {
        return modified_of(this->config.customers, item.id);
    }
    base::revision operator()(const put_order& item) const
    {
        return modified_of(this->config.orders, item.value.server);
    }
    base::revision operator()(const remove_order& item) const
    {
        return modified_of(this->config.orders, item.server);
    }
    base::revision operator()(const put_shares&) const
    {
        return this->config.shares.modified;
    }
    base::revision operator()(const put_forwarding&) const
    {
        return this->config.forwarding.modified;
    }
    base::revision operator()(const patch_forwarding&) const
    {
        return this->config.forwarding.modified;
    }
};

} // namespace

bool fits(const configuration& config, const change& item)
{
    const auto* patch = std::get_if<patch_forwarding>(&item);
    return patch == nullptr || fits(config.forwarding, patch->value);
}

void apply(configuration& config, const change& item, base::revision at)
{
    std::visit(applier{config, at}, item);
    config.at = at;
}

std::string object_name(const change& item)
{
    return std::visit(namer{}, item);
}

base::revision last_modified(const configuration& config, const change& item)
{
    return std::visit(revision_finder{config}, item);
}

} // namespace oleanderhinge::wire
