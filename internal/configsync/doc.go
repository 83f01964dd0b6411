// Package configsync distributes versions of the operator's configuration among the
// instances, without input or output of its own.
//
// # How it works
//
// The store only gives out a configuration as a whole. A few instances read it there;
// the others request an Update from an instance that has it: the change that leads
// from the revision that they hold to the newest one, or to all of it from nothing.
// What a version costs an instance therefore follows from what it changes.
//
// An Update consists of compressed parts of bounded size and is identified by its
// content. A part is requested at a time, so that a transfer is bounded by its
// progress and not by its size, and can go on at another instance that offers the same
// Update (Download).
//
// An instance sends to a few others at a time (Uploads). Further ones are referred to
// instances that have received the Update before, so that it spreads like a tree
// whatever the link of the first one, and no link carries much more than one copy.
//
// # Structure
//
// History holds the configuration in force and the last changes. Revisions carry a
// digest of the content: a change is only applied to the content that it was made
// from, and the result is verified.
package configsync
