import random,sys
seed=int(sys.argv[1]); r=random.Random(seed)
Z='lisse'
def dis(at):
    k=r.choice(['core_cut','core_cut','node_cut','node_freeze','node_kill','platform_down','reset_conns'])
    if k=='core_cut': return dict(at=at,kind=k,zone=Z,count=1,for_s=r.choice([6.5,4.0,2.0]),how=r.choice(['turn','turn one_way','turn all','turn near','turn reset','turn refuse']))
    if k=='node_cut': return dict(at=at,kind=k,zone=Z,share=0.35,for_s=r.choice([6.5,4.0,2.0]),how=r.choice(['turn','turn all','turn servers']))
    if k=='node_freeze': return dict(at=at,kind=k,on='core',zone=Z,count=1,for_s=r.choice([6.4,4.0,2.0]),how=r.choice(['turn','reader','leader']))
    if k=='node_kill': return dict(at=at,kind=k,on='core',zone=Z,count=1,for_s=r.choice([3.8,1.0]),how=r.choice(['turn power','turn','reader','meet drain']))
    if k=='platform_down': return dict(at=at,kind=k,zone=Z,share=0.33,for_s=r.choice([9.0,5.0,2.0]),how='nodes '+r.choice(['busy','many','reset','silent','turn silent','turn busy','meet drain']))
    return dict(at=at,kind=k,zone=Z,share=0.1,x=0.5)
pat=[(0.0,dis(0)),(round(r.uniform(-1,3),2),dis(0)),(round(r.uniform(-1,3),2),dis(0))]
per=r.choice([9.0,10.6,12.0])
H=max(p[1].get('for_s',1.0)+p[0] for p in pat) if r.random()<.4 else pat[0][1].get('for_s',1.0)
pl=r.choice(['scale_in','scale_in','release','config_change','config_change','reuse'])
ds=round(r.uniform(-0.5,2.5),2)
plan=[];faults=[]
t=2.0
while t+per<90 and len(plan)+len(faults)<35:
    for off,d in pat:
        e=dict(d); e['at']=round(max(0,t+off),2); faults.append(e)
    at=round(t+H+ds,2)
    if pl=='scale_in':
        plan.append(dict(at=at,kind='scale_in',share=0.25,service='bollen-llm')); plan.append(dict(at=round(t+per-1,2),kind='scale_out',share=0.25,gap_s=1.0,service='bollen-llm'))
    elif pl=='release': plan.append(dict(at=at,kind='release',share=0.33,x=1.0,gap_s=0.71,service=r.choice(['bollen-llm','bestel-app'])))
    elif pl=='config_change': plan.append(dict(at=at,kind='config_change',how=r.choice(['route','weights','timeout'])))
    else: faults.append(dict(at=at,kind='replace_with_reuse',share=0.15,service='bestel-app',how=r.choice(['','drain'])))
    t+=per
fmt=lambda v:'"%s"'%v if isinstance(v,str) else str(v)
o='name = "zone_%s_%d"\nlength_s = %.1f\n'%('_'.join(d['kind'] for _,d in pat)+'_'+pl,seed,min(92.0,t+1))
for nm,l in(('plan',plan),('faults',faults)):
    o+=nm+' = [\n'+''.join('  { '+', '.join('%s = %s'%(a,fmt(b)) for a,b in e.items())+' },\n' for e in l)+']\n'
open(sys.argv[2],'w').write(o)
